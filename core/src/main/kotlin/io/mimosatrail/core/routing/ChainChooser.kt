package io.mimosatrail.core.routing

import io.mimosatrail.core.config.ModelPool
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.pipeline.Chain
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.Stage

/** What a chain is wanted for; instances in [excluded] have just failed this request. */
data class ChainRequest(val pool: ModelPool, val promptTokens: Int, val excluded: Set<InstanceId> = emptySet())

/** Chooses a chain that covers the pool's layers, or null where none can. */
typealias ChainChooser = (ChainRequest) -> Chain?

/** Chooses a stage that holds exactly [LayerRange] in the pool, or null where none does. */
typealias StageChooser = (ChainRequest, LayerRange) -> Stage?
