package io.mimosatrail.core.routing

import io.mimosatrail.core.config.ModelPool
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.pipeline.Chain
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.Stage

/**
 * Request for a chain of [pool] for a prompt of [promptTokens] tokens. Instances in [excluded] have just failed the
 * request and are not chosen again.
 */
data class ChainRequest(val pool: ModelPool, val promptTokens: Int, val excluded: Set<InstanceId> = emptySet())

/** Chooses a chain that covers the pool's layers; null if there is none. */
typealias ChainChooser = (ChainRequest) -> Chain?

/** Chooses a stage that holds exactly the given layers of the pool; null if there is none. */
typealias StageChooser = (ChainRequest, LayerRange) -> Stage?
