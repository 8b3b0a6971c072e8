package io.mimosatrail.gateway.gossip

import io.mimosatrail.core.balance.PeerLoads
import io.mimosatrail.core.balance.UpstreamTraffic
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logProblem
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tells some other entries at a time what this one has under way at each engine, in datagrams that may be lost. Runs on
 * [loop].
 */
@OptIn(ExperimentalSerializationApi::class)
internal class LoadGossip(
    private val self: InstanceId,
    private val traffic: UpstreamTraffic,
    private val loads: PeerLoads,
    private val peers: () -> List<PeerAddress>,
    private val words: WordBoard,
    private val duty: () -> Long?,
    private val onDown: (InstanceId) -> Unit,
    private val onHeard: (InstanceId, Long?) -> Unit,
    private val loop: EventLoop,
    private val clock: Clock,
) {
    private var channel: Channel? = null
    private var number = 0L
    private var nextPeer = 0

    /** Binds [address]. Fails with the cause if it cannot be had. */
    fun listen(address: PeerAddress) {
        channel = Bootstrap().group(loop).channel(NioDatagramChannel::class.java)
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(Receiver())
                }
            })
            .bind(address.host, address.port).sync().channel()
    }

    /** Tells the next peers in turn. */
    fun tell(now: Moment) {
        val open = channel ?: return
        val all = peers()
        if (all.isEmpty()) return
        val message =
            LoadMessage(self, ++number, traffic.loads(), traffic.detectedDown(now), words.toTell(), duty())
        val bytes = Cbor.encodeToByteArray(message)
        repeat(minOf(PEERS_AT_A_TIME, all.size)) {
            val peer = all[nextPeer++ % all.size]
            open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), InetSocketAddress(peer.host, peer.port)))
        }
        open.flush()
    }

    private fun onMessage(message: LoadMessage) {
        val now = clock()
        loads.onReport(message.from, message.number, message.loads, now)
        onHeard(message.from, message.duty)
        message.seen.forEach(words::onTold)
        for (engine in message.down) {
            if (traffic.onReportedDown(engine, now)) onDown(engine)
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
        /** Load changes within a stream's lifetime of seconds; a few messages a second follow it. */
        val PERIOD = 240.milliseconds

        /** Bounds the datagrams of one entry whatever the number of entries. */
        private const val PEERS_AT_A_TIME = 6
    }
}
