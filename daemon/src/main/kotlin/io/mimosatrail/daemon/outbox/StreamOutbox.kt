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

private val idleAfter = 60.seconds

/** Sends messages without waiting, in order for each peer; [unsent] hears of each one that could not be sent. */
internal class StreamOutbox(private val host: Host, private val unsent: (Outgoing, PeerError) -> Unit) {
    /** A message on its way. */
    class Outgoing(val to: PeerAddress, val message: PeerMessage)

    private val queues = ConcurrentHashMap<PeerAddress, Channel<Outgoing>>()

    /** Queues [message] for [to]. */
    fun send(to: PeerAddress, message: PeerMessage) {
        val outgoing = Outgoing(to, message)
        queues.compute(to) { _, open ->
            val queue = open ?: start(to)
            queue.also { it.trySend(outgoing) }
        }
    }

    private fun start(to: PeerAddress): Channel<Outgoing> {
        val queue = Channel<Outgoing>(Channel.UNLIMITED)
        host.scope.launch { sendAll(to, queue) }
        return queue
    }

    private suspend fun sendAll(to: PeerAddress, queue: Channel<Outgoing>) {
        while (true) {
            val outgoing = withTimeoutOrNull(idleAfter) { queue.receive() }
            if (outgoing != null) {
                host.peers.send(to, outgoing.message).onFailure { unsent(outgoing, it) }
            } else if (retire(to, queue)) {
                return
            }
        }
    }

    private fun retire(to: PeerAddress, queue: Channel<Outgoing>): Boolean =
        queues.computeIfPresent(to) { _, open -> open.takeIf { !queue.isEmpty } } == null
}
