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

/** Stands beside one upstream and is the only way to it. */
internal class SidecarRole(private val host: Host, private val upstream: UpstreamSettings) : Role {
    private val runner: Runner = when (upstream.kind) {
        UpstreamKind.ENGINE -> engineRunner(StageRunner(host, HttpEngineClient(upstream.url)))
        UpstreamKind.PLAIN -> plainRunner(CallOwner(host, HttpPlainClient(upstream.url)))
    }
    private val describer = Describer(host, ::describe)

    override val httpPort: Int? get() = null

    override val requestsInFlight: Int get() = runner.load().let { it.running + it.waiting }

    override suspend fun start() {
        runner.start()
        describer.start()
    }

    override suspend fun upstreams(): List<UpstreamDescription> = listOf(describe())

    override fun startDraining() = runner.part.startDraining()

    override suspend fun awaitDrained() = runner.part.awaitDrained()

    override fun close() = Unit

    private suspend fun describe() = UpstreamDescription(
        instance = host.self.id,
        place = host.self.place,
        address = host.self.address,
        service = upstream.service,
        load = runner.load(),
        engine = runner.engine(),
    )

    private fun engineRunner(stage: StageRunner) = Runner(stage, stage::start, stage::load, stage::describe)

    private fun plainRunner(owner: CallOwner) = Runner(owner, owner::start, owner::load) { null }

    /** The part that serves the upstream, whatever its kind. */
    private class Runner(
        val part: Drainable,
        val start: () -> Unit,
        val load: () -> UpstreamLoad,
        val engine: suspend () -> EngineDescription?,
    )
}
