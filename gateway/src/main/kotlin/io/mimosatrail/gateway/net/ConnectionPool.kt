package io.mimosatrail.gateway.net

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.time.Clock
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Target of a connection: an address and the upstream that is expected there, null for the platform's store. */
internal data class ConnectionKey(val address: PeerAddress, val upstream: InstanceId?)

/** Outcome of asking for a connection. */
internal sealed interface Lease {
    /** [connection] is ready for one request. */
    data class Ready(val connection: UpstreamConnection) : Lease

    /** No connection is to be had; nothing was sent. */
    data class Failed(val detail: String) : Lease
}

/** Keeps connections for reuse, the last used first. Confined to [loop]. */
internal class ConnectionPool(private val loop: EventLoop, private val clock: Clock) {
    private class Target {
        var open = 0
        val idle = ArrayDeque<UpstreamConnection>()
    }

    private val targets = HashMap<ConnectionKey, Target>()
    private val bootstrap = Bootstrap()
        .group(loop)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())

    /** Connections that were opened since the start. */
    var opened = 0L
        private set

    /** Passes a connection to [ready], reused where one is idle, else new unless [most] are open. */
    fun lease(key: ConnectionKey, most: Int, ready: (Lease) -> Unit) {
        val target = targets.getOrPut(key) { Target() }
        takeIdle(target)?.let { return ready(Lease.Ready(it)) }
        if (target.open >= most) return ready(Lease.Failed("all $most connections are in use"))
        connect(key, target, ready)
    }

    /** Takes back a connection that was leased and not used. */
    fun giveBack(connection: UpstreamConnection) = connection.markIdle()

    /** Closes connections whose idle time is over, and those to targets for which [isWanted] is false. */
    fun closeIdle(isWanted: (ConnectionKey) -> Boolean) {
        val now = clock()
        for ((key, target) in targets) {
            val expired = target.idle.filter { now - it.idleSince > it.idleLimit || !isWanted(key) }
            expired.forEach { it.abort() }
            target.idle.removeAll(expired)
        }
        targets.values.removeIf { it.open == 0 }
    }

    private fun takeIdle(target: Target): UpstreamConnection? {
        val now = clock()
        while (true) {
            val connection = target.idle.removeLastOrNull() ?: return null
            if (connection.isOpen && now - connection.idleSince <= connection.idleLimit) return connection
            connection.abort()
        }
    }

    private fun connect(key: ConnectionKey, target: Target, ready: (Lease) -> Unit) {
        target.open++
        opened++
        val connection = UpstreamConnection(
            clock = clock,
            onIdle = { target.idle.addLast(it) },
            onClosed = {
                target.open--
                target.idle.remove(it)
            },
        )
        bootstrap.clone().handler(initializer(connection)).connect(key.address.host, key.address.port)
            .addListener { future ->
                if (!future.isSuccess) target.open--
                ready(
                    if (future.isSuccess) Lease.Ready(connection) else Lease.Failed(describe(future as ChannelFuture)),
                )
            }
    }

    private fun initializer(connection: UpstreamConnection) = object : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES), connection)
        }
    }

    private fun describe(future: ChannelFuture): String = "no connection: ${future.cause()?.message ?: "cancelled"}"

    private companion object {
        /** A connection within a region takes a few milliseconds; a lost first packet is sent again after a second. */
        val CONNECT_TIMEOUT: Duration = 600.milliseconds
        const val MAX_LINE_BYTES = 8 * 1024
        const val MAX_HEADER_BYTES = 64 * 1024
        const val MAX_CHUNK_BYTES = 64 * 1024
    }
}
