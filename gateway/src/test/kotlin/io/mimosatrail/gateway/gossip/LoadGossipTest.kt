package io.mimosatrail.gateway.gossip

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.balance.PeerLoads
import io.mimosatrail.core.balance.UpstreamTraffic
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.path.PathEngine
import io.mimosatrail.core.path.PathSegment
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.placement.AcceleratorProfile
import io.mimosatrail.core.quarantine.PromptQuarantine
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.core.time.systemClock
import io.mimosatrail.gateway.follow.RegisteredEntries
import io.mimosatrail.gateway.forward.UpstreamLimits
import io.mimosatrail.gateway.forward.UpstreamState
import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import java.net.DatagramSocket
import java.net.InetAddress
import kotlin.time.Duration.Companion.seconds

/** One entry whose gossip is on a loopback address. */
private class GossipingEntry(name: String, loop: EventLoop, peers: () -> List<PeerAddress>) {
    val address = freeAddress()
    val traffic = UpstreamTraffic()
    val loads = PeerLoads()
    private val upstreams = UpstreamState(
        UpstreamRegistry(),
        traffic,
        loads,
        UpstreamObservations(UpstreamRegistry(), traffic, systemClock),
        PromptQuarantine(),
        UpstreamLimits(InstanceId(name), { RegisteredEntries.INITIAL }, systemClock),
    )
    val gossip = LoadGossip(
        self = InstanceId(name),
        upstreams = upstreams,
        peers = peers,
        dutyTerm = { null },
        configuration = { null },
        onReportedDown = {},
        onPeerMessage = {},
        loop = loop,
        clock = systemClock,
    ).also { it.listen(address) }
}

private fun freeAddress(): PeerAddress =
    DatagramSocket(0, InetAddress.getLoopbackAddress()).use { PeerAddress("127.0.0.1", it.localPort) }

private fun segment(engine: InstanceId): PathSegment {
    val layers = LayerRange(0, 1)
    val address = PeerAddress("10.0.0.1", 80)
    val kind = AcceleratorProfile(1.0, 1.0, 1.0)
    return PathSegment(PathEngine(engine, address, PlaceId("p"), kind, layers, 0.0, 0.0, 1.0, 1.0), layers)
}

class LoadGossipTest :
    FunSpec({
        // Guards against messages that are lost because they are longer than the buffer of the receiver.
        context("a message with the loads of many engines reaches the peer") {
            withData(nameFn = { "$it engines" }, 1, 40, 600) { count ->
                val group = NioEventLoopGroup(1)
                val receiver = GossipingEntry("receiver", group.next()) { emptyList() }
                val sender = GossipingEntry("sender", group.next()) { listOf(receiver.address) }
                val engines = List(count) { InstanceId("i-%010x".format(it)) }
                sender.traffic.reserve(engines.map(::segment), 1_000)
                sender.gossip.send(systemClock())
                eventually(5.seconds) {
                    engines.forEach { receiver.loads.at(it, systemClock()).sequences shouldBe 1 }
                }
                group.shutdownGracefully()
            }
        }
    })
