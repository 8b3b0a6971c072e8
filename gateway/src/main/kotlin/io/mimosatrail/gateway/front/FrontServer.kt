package io.mimosatrail.gateway.front

import io.mimosatrail.core.front.FrontLimits
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.time.Clock
import io.mimosatrail.gateway.net.oneReadATurn
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import java.nio.channels.ServerSocketChannel

/**
 * HTTP server that passes each request to [serve] once it has been read in full. Confined to one event loop, of which
 * [wasLate] tells whether it has recently been late. Each request must keep the [limits] in force when it comes, not
 * those of the moment at which its connection was opened; they are null before the first configuration.
 */
internal class FrontServer(
    private val group: EventLoopGroup,
    private val clock: Clock,
    limits: () -> FrontLimits?,
    private val wasLate: () -> Boolean = { false },
    areLimitsOutdated: () -> Boolean = { false },
    private val serve: (Caller) -> Unit,
) {
    private val limits = LimitsInForce(limits, areLimitsOutdated)
    private val connections = HashSet<FrontConnection>()

    /** True while the server stops: it still serves requests, but closes each connection once all are answered. */
    var isStopping = false

    /** Number of requests that were read in full and whose response has not been sent in full. */
    val openRequests: Int get() = connections.sumOf { it.openRequests }

    /** Binds [address] and returns when the server listens. Throws an `IOException` if [address] cannot be bound. */
    fun listen(address: PeerAddress) = listen(bindFront(address))

    /** Accepts connections on [socket], which is already listening; those in its backlog are accepted first. */
    fun listen(socket: ServerSocketChannel) {
        ServerBootstrap()
            .group(group)
            .channelFactory { NioServerSocketChannel(socket) }
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, oneReadATurn())
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) = prepare(channel)
            })
            .register().sync()
    }

    /** True while a connection whose last response was sent waits for the caller to close it too. */
    val isClosingConnections: Boolean get() = connections.any { it.isLingering }

    /** Closes connections that are idle, or whose next request has been incomplete, for longer than is configured. */
    fun closeIdle() = connections.toList().forEach { it.closeIfIdle() }

    private fun prepare(channel: Channel) {
        val heads = RequestHeadTimer(clock)
        val decoding = RequestDecoderUpdate(limits)
        val encoder = ResponseEncoder()
        val connection =
            FrontConnection(clock, limits, heads, decoding::maxHeaderBytes, encoder, { isStopping }, wasLate, serve)
        connections += connection
        channel.closeFuture().addListener { connections -= connection }
        channel.pipeline().addLast(
            heads.beforeDecoder,
            decoding,
            decoding.decoder,
            encoder,
            heads.afterDecoder,
            RequestCollector(limits) { connection.openRequests > 0 },
            connection,
        )
    }
}
