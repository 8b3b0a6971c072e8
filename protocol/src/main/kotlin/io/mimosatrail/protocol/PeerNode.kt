package io.mimosatrail.protocol

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableSharedFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

private const val CLOSED_LINKS_BUFFER = 1_024
private val log = KotlinLogging.logger("peers")

/**
 * Accepts connections of peers and maintains one outgoing connection to each peer that messages are sent to.
 *
 * Each message sent carries the configuration [revision] of this process. [onRevision] is called with the revision of
 * each message received, before [handler].
 */
class PeerNode(
    private val settings: PeerSettings,
    private val revision: () -> ConfigRevision,
    private val onRevision: (InstanceId, ConfigRevision) -> Unit = { _, _ -> },
    private val handler: PeerHandler,
) : Peers {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val handshake = Handshake(settings)
    private val outgoing = ConcurrentHashMap<PeerAddress, PeerLink>()
    private val incoming = ConcurrentHashMap.newKeySet<PeerLink>()
    private val connectMutexes = ConcurrentHashMap<PeerAddress, Mutex>()
    private val closed =
        MutableSharedFlow<PeerAddress>(
            extraBufferCapacity = CLOSED_LINKS_BUFFER,
            onBufferOverflow = BufferOverflow.DROP_OLDEST,
        )
    private lateinit var server: ServerSocket

    override val closedLinks: Flow<PeerAddress> get() = closed

    /** Binds the listener and returns its address. Port 0 in the settings selects a free port. */
    suspend fun listen(): PeerAddress {
        server = aSocket(selector).tcp().bind(InetSocketAddress(settings.host, settings.port))
        scope.launch { acceptAll() }
        return PeerAddress(settings.host, (server.localAddress as InetSocketAddress).port)
    }

    override suspend fun send(to: PeerAddress, message: PeerMessage): Result<Unit, PeerError> =
        link(to).getOrElse { return Err(it) }.send(message)

    override suspend fun ask(to: PeerAddress, message: PeerMessage, timeout: Duration): Result<PeerMessage, PeerError> =
        link(to).getOrElse { return Err(it) }.ask(message, timeout)

    /** Closes every connection and the listener. */
    fun close() {
        (outgoing.values + incoming).forEach { it.close("this process is stopping") }
        if (::server.isInitialized) server.close()
        scope.cancel()
        selector.close()
    }

    private suspend fun acceptAll() {
        try {
            while (true) {
                val socket = server.accept()
                scope.launch { serve(socket) }
            }
        } catch (e: IOException) {
            log.debug { "peers: the listener was closed: ${e.message}" }
        }
    }

    private suspend fun serve(socket: Socket) {
        val channel = FrameChannel(socket, settings.maxFrameBytes)
        val peer = authenticate(channel) { handshake.accept(channel) } ?: return
        val link = newLink(peer, addressOf(socket), channel)
        incoming += link
        link.start()
        val reason = link.awaitClose()
        incoming -= link
        log.debug { "peers: connection from $peer closed: $reason" }
    }

    private suspend fun link(to: PeerAddress): Result<PeerLink, PeerError> {
        outgoing[to]?.takeIf { it.isOpen }?.let { return Ok(it) }
        return connectMutexes.computeIfAbsent(to) { Mutex() }.withLock {
            outgoing[to]?.takeIf { it.isOpen }?.let { Ok(it) } ?: connect(to)
        }
    }

    private suspend fun connect(to: PeerAddress): Result<PeerLink, PeerError> {
        val link = try {
            withTimeoutOrNull(settings.connectTimeout) { open(to) }
        } catch (e: IOException) {
            return Err(PeerError.Unreachable(to, e.message ?: "connection failed"))
        }
        link ?: return Err(PeerError.Unreachable(to, "no connection within ${settings.connectTimeout}"))
        outgoing[to] = link
        link.start()
        scope.launch {
            link.awaitClose()
            closed.emit(to)
        }
        return Ok(link)
    }

    private suspend fun open(to: PeerAddress): PeerLink? {
        val socket = aSocket(selector).tcp().connect(InetSocketAddress(to.host, to.port)) { noDelay = true }
        val channel = FrameChannel(socket, settings.maxFrameBytes)
        val peer = authenticate(channel) { handshake.connect(channel) } ?: return null
        return newLink(peer, to, channel)
    }

    private fun newLink(peer: InstanceId, address: PeerAddress, channel: FrameChannel) =
        PeerLink(peer, address, channel, scope, revision, ::handle, settings.queueFrames)

    private suspend fun handle(from: InstanceId, envelope: Envelope): PeerMessage? {
        onRevision(from, envelope.revision)
        return try {
            handler(from, envelope.message)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.error(e) { "peers: handling ${envelope.message.javaClass.simpleName} from $from failed" }
            null
        }
    }

    /** Returns the id of the peer, or closes [channel] and returns null if [handshake] fails or takes too long. */
    private suspend fun authenticate(
        channel: FrameChannel,
        handshake: suspend () -> Result<InstanceId, String>,
    ): InstanceId? {
        val result = try {
            withTimeoutOrNull(settings.connectTimeout) { handshake() }
                ?: Err("not completed within ${settings.connectTimeout}")
        } catch (e: CancellationException) {
            channel.close()
            throw e
        } catch (e: Exception) {
            Err(e.message ?: e.javaClass.simpleName)
        }
        return result.getOrElse { reason ->
            log.warn { "peers: handshake failed: $reason" }
            channel.close()
            null
        }
    }

    private fun addressOf(socket: Socket): PeerAddress {
        val remote = socket.remoteAddress as InetSocketAddress
        return PeerAddress(remote.hostname, remote.port)
    }
}
