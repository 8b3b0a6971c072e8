package io.mimosatrail.daemon.entry.directory

import io.mimosatrail.core.pipeline.Chain
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.Stage
import io.mimosatrail.core.routing.ChainRequest
import io.mimosatrail.core.routing.ChainRouter
import io.mimosatrail.daemon.host.Host
import kotlin.random.Random

/** Chooses the stages of model requests among the upstreams of [directory]. */
class ChainPlanner(private val directory: LiveDirectory, host: Host) {
    private val random = Random(host.self.id.value.hashCode())
    private val router = directory.withTable { table, _ -> ChainRouter(table, random) }

    /** A chain that covers the pool's layers, or null where none can. */
    fun chooseChain(request: ChainRequest): Chain? = directory.withTable { _, now -> router.chooseChain(request, now) }

    /** An upstream that holds exactly [layers], or null where none may be used. */
    fun chooseStage(request: ChainRequest, layers: LayerRange): Stage? =
        directory.withTable { _, now -> router.chooseStage(request, layers, now) }
}
