package io.mimosatrail.gateway.net

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.time.Clock
import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.RecvByteBufAllocator
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Target of a connection: an address and the upstream expected there; [upstream] is null for the platform's store. */
internal data class ConnectionKey(val address: PeerAddress, val upstream: InstanceId?)

/** Result of [ConnectionPool.lease]. */
internal sealed interface Lease {
    /** [connection] can carry one request. */
    data class Ready(val connection: UpstreamConnection) : Lease

    /** There is no connection, so nothing was sent. This shows that the upstream is unreachable if [isUnreachable]. */
    data class Failed(val detail: String, val isUnreachable: Boolean) : Lease
}

private const val MIN_READ_BYTES = 64
private const val FIRST_READ_BYTES = 2 * 1024

/** The shortest chunks and events in as many bytes take an event loop some milliseconds. */
private const val MAX_READ_BYTES = 16 * 1024

/** Lets a connection over which much arrives read once, and not much, before all others have their turn. */
internal fun oneReadATurn(): RecvByteBufAllocator =
    AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1)

/** Keeps idle connections and reuses the most recently used one first. Confined to [loop]. */
internal class ConnectionPool(private val loop: EventLoop, private val clock: Clock) {
    private class Target {
        /** Connections that are open or being opened. */
        val open = HashSet<UpstreamConnection>()
        val idle = ArrayDeque<UpstreamConnection>()
    }

    private val targets = HashMap<ConnectionKey, Target>()
    private val bootstrap = Bootstrap()
        .group(loop)
        .channel(UpstreamChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(ChannelOption.RCVBUF_ALLOCATOR, oneReadATurn())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())

    /** Number of connections opened since the pool was created. */
    var opened = 0L
        private set

    /**
     * Passes an idle connection for which [isSuitable] is true to [onResult]; if there is none, a new one, which
     * replaces an idle one if [maxConnections] are open. Fails if all of these are in use.
     */
    fun lease(
        key: ConnectionKey,
        maxConnections: Int,
        isSuitable: (UpstreamConnection) -> Boolean = { true },
        onResult: (Lease) -> Unit,
    ) {
        val target = targets.getOrPut(key) { Target() }
        takeIdle(target, isSuitable)?.let { return onResult(Lease.Ready(it)) }
        if (target.open.size >= maxConnections) {
            val replaced = target.idle.removeFirstOrNull()
                ?: return onResult(Lease.Failed("all $maxConnections connections are in use", isUnreachable = false))
            replaced.abort()
        }
        connect(key, target, onResult)
    }

    /** Returns a connection that was leased and not used. */
    fun release(connection: UpstreamConnection) = connection.markIdle()

    /** Closes connections that were idle for too long, and idle ones to targets for which [isWanted] is false. */
    fun closeIdle(isWanted: (ConnectionKey) -> Boolean) {
        val now = clock()
        for ((key, target) in targets) {
            val expired = target.idle.filter { now - it.idleSince > it.idleTimeout || !isWanted(key) }
            expired.forEach { it.abort() }
            target.idle.removeAll(expired)
        }
        targets.values.removeIf { it.open.isEmpty() }
    }

    private fun takeIdle(target: Target, isSuitable: (UpstreamConnection) -> Boolean): UpstreamConnection? {
        val now = clock()
        while (true) {
            val index = target.idle.indexOfLast { it.isOpen && now - it.idleSince <= it.idleTimeout && isSuitable(it) }
            if (index < 0) return null
            val connection = target.idle.removeAt(index)
            if (connection.isReusable()) return connection
            target.open -= connection
        }
    }

    private fun connect(key: ConnectionKey, target: Target, onResult: (Lease) -> Unit) {
        opened++
        val connection = UpstreamConnection(
            clock = clock,
            onIdle = { target.idle.addLast(it) },
            onClosed = {
                target.open -= it
                target.idle.remove(it)
            },
        )
        target.open += connection
        bootstrap.clone().handler(initializer(connection)).connect(key.address.host, key.address.port)
            .addListener { future ->
                if (!future.isSuccess) target.open -= connection
                onResult(
                    if (future.isSuccess) {
                        Lease.Ready(connection)
                    } else {
                        Lease.Failed(describe(future as ChannelFuture), isUnreachable = true)
                    },
                )
            }
    }

    private fun initializer(connection: UpstreamConnection) = object : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            connection.handlers.forEach { channel.pipeline().addLast(it) }
        }
    }

    private fun describe(future: ChannelFuture): String = "no connection: ${future.cause()?.message ?: "cancelled"}"

    private companion object {
        /** Connecting within a region takes milliseconds. TCP resends a lost first packet only after a second. */
        val CONNECT_TIMEOUT: Duration = 600.milliseconds
    }
}
