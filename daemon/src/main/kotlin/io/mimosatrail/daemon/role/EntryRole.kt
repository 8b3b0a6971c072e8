package io.mimosatrail.daemon.role

import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.daemon.entry.admission.Admission
import io.mimosatrail.daemon.entry.call.CallForwarder
import io.mimosatrail.daemon.entry.directory.ChainPlanner
import io.mimosatrail.daemon.entry.directory.LiveUpstreamDirectory
import io.mimosatrail.daemon.entry.front.EntryFront
import io.mimosatrail.daemon.entry.front.EntryGate
import io.mimosatrail.daemon.entry.front.FrontMeters
import io.mimosatrail.daemon.entry.front.InFlightRequests
import io.mimosatrail.daemon.entry.front.ModelFront
import io.mimosatrail.daemon.entry.front.ServiceFront
import io.mimosatrail.daemon.entry.stream.StreamRouter
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.daemon.http.serveHttp
import io.mimosatrail.daemon.settings.DaemonSettings
import org.http4k.server.Http4kServer

/** Role of an entry: admits the requests of callers and routes them to sidecars. */
internal class EntryRole(private val host: Host, private val settings: DaemonSettings, isReady: () -> Boolean) : Role {
    private val directory = LiveUpstreamDirectory(host)
    private val planner = ChainPlanner(directory, host)
    private val admission = Admission(host)
    private val streams = StreamRouter(host, planner::chooseChain, planner::chooseStage, directory)
    private val calls = CallForwarder(host, directory)
    private val inFlight = InFlightRequests(settings.limits.maxRequests)
    private val gate = EntryGate(host.configuration, isReady, admission::admit)
    private val meters = FrontMeters(host.meters, host.clock)
    private val front = EntryFront(
        self = host.self.id,
        models = ModelFront(host, gate, streams::open, meters, settings.limits.maxBodyBytes),
        services = ServiceFront(host, gate, calls::call, meters, settings.limits.maxBodyBytes),
        configuration = host.configuration,
        inFlight = inFlight,
    )
    private lateinit var server: Http4kServer

    override val httpPort: Int get() = server.port()

    override val requestsInFlight: Int get() = inFlight.current.requests

    override suspend fun start() {
        directory.start()
        admission.start()
        streams.start()
        calls.start()
        server = serveHttp(front.handler, settings.host, settings.httpPort, settings.limits.maxRequests)
    }

    override suspend fun upstreams(): List<UpstreamDescription> = directory.upstreams()

    override fun startDraining() = front.startDraining()

    override suspend fun awaitDrained() {
        front.awaitDrained()
        streams.startDraining()
        calls.startDraining()
        streams.awaitDrained()
        calls.awaitDrained()
    }

    override fun close() {
        if (::server.isInitialized) server.stop()
    }
}
