package io.mimosatrail.daemon.role

import io.mimosatrail.core.membership.EngineDescription
import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.daemon.host.Drainable
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.daemon.settings.UpstreamKind
import io.mimosatrail.daemon.settings.UpstreamSettings
import io.mimosatrail.daemon.sidecar.call.CallOwner
import io.mimosatrail.daemon.sidecar.describe.Describer
import io.mimosatrail.daemon.sidecar.stage.StageRunner
import io.mimosatrail.upstream.HttpEngineClient
import io.mimosatrail.upstream.HttpPlainClient

/** Role of a sidecar: serves one upstream, which is reached only through this process. */
internal class SidecarRole(private val host: Host, private val upstream: UpstreamSettings) : Role {
    private val server: Server = when (upstream.kind) {
        UpstreamKind.ENGINE -> engineServer(StageRunner(host, HttpEngineClient(upstream.url)))
        UpstreamKind.PLAIN -> plainServer(CallOwner(host, HttpPlainClient(upstream.url)))
    }
    private val describer = Describer(host, ::describe)

    override val httpPort: Int? get() = null

    override val requestsInFlight: Int get() = server.load().let { it.running + it.waiting }

    override suspend fun start() {
        server.start()
        describer.start()
    }

    override suspend fun upstreams(): List<UpstreamDescription> = listOf(describe())

    override fun startDraining() = server.drainable.startDraining()

    override suspend fun awaitDrained() = server.drainable.awaitDrained()

    override fun close() = Unit

    private suspend fun describe() = UpstreamDescription(
        instance = host.self.id,
        place = host.self.place,
        address = host.self.address,
        service = upstream.service,
        load = server.load(),
        engine = server.engine(),
    )

    private fun engineServer(stage: StageRunner) = Server(stage, stage::start, stage::load, stage::describe)

    private fun plainServer(owner: CallOwner) = Server(owner, owner::start, owner::load) { null }

    /** Functions of the component that serves the upstream, common to both kinds of upstream. */
    private class Server(
        val drainable: Drainable,
        val start: () -> Unit,
        val load: () -> UpstreamLoad,
        val engine: suspend () -> EngineDescription?,
    )
}
