package io.mimosatrail.gateway.gossip

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.StoreTimeline
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.registry.ListingReport
import io.mimosatrail.core.store.StorePosition
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.forward.UpstreamState
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.log.logProblem
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Exchanges [LoadMessage]s with the other entries in UDP datagrams, which may be lost. Runs on [loop].
 *
 * [dutyTerm] is the term of the placement duty if this entry holds it, [configuration] the version of the configuration
 * in force here, and [listing] what this entry last read of the registry if it reports that. [onReportedDown] is called
 * for an engine that a peer reports as down and that was not presumed down yet, [onPeerMessage] for each message.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class LoadGossip(
    private val self: InstanceId,
    private val upstreams: UpstreamState,
    private val peers: () -> List<PeerAddress>,
    private val dutyTerm: () -> StorePosition?,
    private val configuration: () -> Long?,
    private val listing: () -> ListingReport?,
    private val onReportedDown: (InstanceId) -> Unit,
    private val onPeerMessage: (LoadMessage) -> Unit,
    private val loop: EventLoop,
    private val clock: Clock,
) {
    private var channel: Channel? = null
    private var number = 0L
    private var nextPeer = 0

    /** Binds [address]; throws if that is not possible. */
    fun listen(address: PeerAddress) {
        channel = Bootstrap().group(loop).channel(NioDatagramChannel::class.java)
            .option(ChannelOption.RCVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(Receiver())
                }
            })
            .bind(address.host, address.port).sync().channel()
    }

    /** Sends the current state to the next [PEERS_PER_ROUND] peers in turn. */
    fun send(now: Moment) {
        val open = channel ?: return
        val all = peers()
        if (all.isEmpty()) return
        val term = dutyTerm()
        val message = LoadMessage(
            self,
            ++number,
            upstreams.traffic.loads(),
            upstreams.traffic.detectedDown(now),
            upstreams.observations.recent(),
            term?.revision,
            term?.timeline ?: StoreTimeline.UNKNOWN,
            upstreams.quarantine.report(now),
            upstreams.access.reports(),
            configuration(),
            listing(),
        )
        val bytes = Cbor.encodeToByteArray(message)
        repeat(minOf(PEERS_PER_ROUND, all.size)) {
            val peer = all[nextPeer++ % all.size]
            open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), InetSocketAddress(peer.host, peer.port)))
        }
        open.flush()
    }

    private fun onMessage(message: LoadMessage) {
        val now = clock()
        upstreams.peerLoads.onReport(message.from, message.number, message.loads, now)
        onPeerMessage(message)
        upstreams.access.onReports(message.from, message.limits)
        message.observations.forEach { upstreams.observations.onObservation(it, message.from) }
        val update = upstreams.quarantine.onReport(message.quarantine, now)
        update.refused.forEach { logProblem("gossip", "content-refused", "content" to it, "from" to message.from) }
        for (engine in message.detectedDown) {
            if (!upstreams.traffic.onReportedDown(engine, now)) continue
            logEvent("gossip", "engine-down", "engine" to engine, "from" to message.from)
            onReportedDown(engine)
        }
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val bytes = ByteArray(packet.content().readableBytes())
            packet.content().readBytes(bytes)
            try {
                onMessage(Cbor.decodeFromByteArray<LoadMessage>(bytes))
            } catch (e: IllegalArgumentException) {
                logProblem("gossip", "unreadable", "from" to packet.sender(), "detail" to e.message)
            }
        }

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            logProblem("gossip", "failed", "detail" to cause.message)
        }
    }

    companion object {
        /** Streams last for seconds, so loads change slowly enough for a few messages per second. */
        val PERIOD = 240.milliseconds

        /** Time in which each of [peers] other entries receives the state of this one, and this one theirs. */
        fun replyTime(peers: Int): Duration {
            val rounds = (peers + PEERS_PER_ROUND - 1) / PEERS_PER_ROUND
            return (PERIOD * rounds * 2 + REPLY_MARGIN).coerceAtMost(MAX_REPLY_TIME)
        }

        private val REPLY_MARGIN = 300.milliseconds

        /** With many entries some don't reply in time; three seconds are the most that any decision can wait. */
        private val MAX_REPLY_TIME = 2_400.milliseconds

        /** Limits the datagrams that one entry sends, whatever the number of entries. */
        private const val PEERS_PER_ROUND = 6

        /** Longest datagram over IPv4; a longer one than the buffer would be cut off and could not be decoded. */
        private const val MAX_DATAGRAM_BYTES = 65_507
    }
}
