package io.mimosatrail.daemon.entry.directory

import io.mimosatrail.core.pipeline.Chain
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.Stage
import io.mimosatrail.core.routing.ChainRequest
import io.mimosatrail.core.routing.ChainRouter
import io.mimosatrail.daemon.host.Host
import kotlin.random.Random

/** Chooses the stages of model requests from the upstreams in [directory]. */
class ChainPlanner(private val directory: LiveUpstreamDirectory, host: Host) {
    private val random = Random(host.self.id.value.hashCode())
    private val router = directory.withTable { table, _ -> ChainRouter(table, random) }

    /** A chain that covers the pool's layers; null if there is none. */
    fun chooseChain(request: ChainRequest): Chain? = directory.withTable { _, now -> router.chooseChain(request, now) }

    /** A stage that holds exactly [layers]; null if there is none. */
    fun chooseStage(request: ChainRequest, layers: LayerRange): Stage? =
        directory.withTable { _, now -> router.chooseStage(request, layers, now) }
}
