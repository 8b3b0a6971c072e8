package io.mimosatrail.gateway.front

import io.mimosatrail.core.front.FrontLimits
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.time.Clock
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import java.nio.channels.ServerSocketChannel

/** Listens for HTTP requests and passes each to [serve] once it has been read whole. Confined to one event loop. */
internal class FrontServer(
    private val group: EventLoopGroup,
    private val clock: Clock,
    private val limits: () -> FrontLimits,
    private val serve: (Caller) -> Unit,
) {
    private val connections = HashSet<FrontConnection>()

    /** True once the server stops: it answers what comes, and asks callers to connect elsewhere. */
    var isStopping = false

    /** Binds [address] and returns when the server listens. Fails with the cause if the address cannot be had. */
    fun listen(address: PeerAddress) = listen(bindFront(address))

    /** Serves the callers of [socket], which listens already; those that wait there come first. */
    fun listen(socket: ServerSocketChannel) {
        ServerBootstrap()
            .group(group)
            .channelFactory { NioServerSocketChannel(socket) }
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) = prepare(channel)
            })
            .register().sync()
    }

    /** Closes connections on which nothing has come for the idle limit. */
    fun closeIdle() {
        val limit = limits().idleTimeout
        connections.toList().forEach { it.closeIfIdle(limit) }
    }

    private fun prepare(channel: Channel) {
        val bounds = limits()
        val connection = FrontConnection(clock, { isStopping }, serve)
        connections += connection
        channel.closeFuture().addListener { connections -= connection }
        val decoder = HttpDecoderConfig().setMaxHeaderSize(bounds.maxHeaderBytes)
            .setMaxInitialLineLength(bounds.maxHeaderBytes)
        channel.pipeline().addLast(HttpServerCodec(decoder), HttpObjectAggregator(bounds.maxBodyBytes), connection)
    }
}
