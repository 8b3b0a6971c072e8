package io.mimosatrail.daemon.outbox

import com.github.michaelbull.result.onFailure
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.protocol.PeerError
import io.mimosatrail.protocol.PeerMessage
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

private val idleTimeout = 60.seconds

/**
 * Queues messages to peers and sends them in the background, in order per peer. Calls [onSendFailed] for each message
 * that could not be sent.
 */
internal class StreamOutbox(private val host: Host, private val onSendFailed: (Outgoing, PeerError) -> Unit) {
    /** A queued message and its receiver. */
    class Outgoing(val to: PeerAddress, val message: PeerMessage)

    private val queues = ConcurrentHashMap<PeerAddress, Channel<Outgoing>>()

    /** Queues [message] for [to]. */
    fun send(to: PeerAddress, message: PeerMessage) {
        val outgoing = Outgoing(to, message)
        queues.compute(to) { _, existing ->
            val queue = existing ?: startQueue(to)
            queue.also { it.trySend(outgoing) }
        }
    }

    private fun startQueue(to: PeerAddress): Channel<Outgoing> {
        val queue = Channel<Outgoing>(Channel.UNLIMITED)
        host.scope.launch { sendAll(to, queue) }
        return queue
    }

    /** Sends the messages of [queue] until it has been idle for [idleTimeout]. */
    private suspend fun sendAll(to: PeerAddress, queue: Channel<Outgoing>) {
        while (true) {
            val outgoing = withTimeoutOrNull(idleTimeout) { queue.receive() }
            if (outgoing != null) {
                host.peers.send(to, outgoing.message).onFailure { onSendFailed(outgoing, it) }
            } else if (removeIfEmpty(to, queue)) {
                return
            }
        }
    }

    /** Removes the queue if it is empty; true if it was removed. */
    private fun removeIfEmpty(to: PeerAddress, queue: Channel<Outgoing>): Boolean =
        queues.computeIfPresent(to) { _, existing -> existing.takeIf { !queue.isEmpty } } == null
}
