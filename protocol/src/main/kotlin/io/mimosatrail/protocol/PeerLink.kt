package io.mimosatrail.protocol

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** One open, authenticated connection to a peer. */
internal class PeerLink(
    val peer: InstanceId,
    private val address: PeerAddress,
    private val channel: FrameChannel,
    private val scope: CoroutineScope,
    private val revision: () -> ConfigRevision,
    private val handler: suspend (InstanceId, Envelope) -> PeerMessage?,
    queueFrames: Int,
) {
    private val queue = Channel<Envelope>(queueFrames)
    private val pendingAnswers = ConcurrentHashMap<Long, CompletableDeferred<PeerMessage>>()
    private val lastCorrelationId = AtomicLong()
    private val closed = CompletableDeferred<String>()

    val isOpen: Boolean get() = !closed.isCompleted

    /** Starts reading and writing. The job ends when the connection is closed. */
    fun start(): Job = scope.launch {
        val writer = launch { closeOnFailure { writeAll() } }
        closeOnFailure { readAll() }
        writer.cancel()
    }

    /** Queues [message] for sending. It expects no answer. */
    fun send(message: PeerMessage): Result<Unit, PeerError> = enqueue(Envelope(message, revision()))

    /** Sends [message] as a request and waits up to [timeout] for the answer. */
    suspend fun ask(message: PeerMessage, timeout: Duration): Result<PeerMessage, PeerError> {
        val correlationId = lastCorrelationId.incrementAndGet()
        val answer = CompletableDeferred<PeerMessage>()
        pendingAnswers[correlationId] = answer
        if (!isOpen) {
            pendingAnswers.remove(correlationId)
            return Err(PeerError.Unreachable(address, "the connection is closed"))
        }
        enqueue(Envelope(message, revision(), correlationId)).onFailure {
            pendingAnswers.remove(correlationId)
            return Err(it)
        }
        val reply = withTimeoutOrNull(timeout) { runCatching { answer.await() }.getOrNull() }
        pendingAnswers.remove(correlationId)
        return reply?.let { Ok(it) } ?: Err(PeerError.NoAnswer(address, noAnswerDetail(timeout)))
    }

    fun close(reason: String) {
        if (!closed.complete(reason)) return
        queue.close()
        channel.close()
        pendingAnswers.values.forEach { it.completeExceptionally(IllegalStateException(reason)) }
        pendingAnswers.clear()
    }

    /** Waits until the connection is closed and returns the reason. */
    suspend fun awaitClose(): String = closed.await()

    private fun noAnswerDetail(timeout: Duration) =
        if (isOpen) "no answer within $timeout" else "the connection broke while waiting"

    private fun enqueue(envelope: Envelope): Result<Unit, PeerError> {
        val sent = queue.trySend(envelope)
        return when {
            sent.isSuccess -> Ok(Unit)
            sent.isClosed -> Err(PeerError.Unreachable(address, "the connection is closed"))
            else -> Err(PeerError.Overloaded(address))
        }
    }

    private suspend fun writeAll() {
        for (first in queue) {
            var envelope: Envelope? = first
            while (envelope != null) {
                channel.write(envelope, flush = false).onFailure { error(it) }
                envelope = queue.tryReceive().getOrNull()
            }
            channel.flush()
        }
    }

    private suspend fun readAll() {
        while (isOpen) {
            receive(channel.read().getOrElse { error(it) })
        }
    }

    private suspend fun receive(envelope: Envelope) {
        when {
            envelope.isAnswer -> pendingAnswers.remove(envelope.correlationId)?.complete(envelope.message)
            envelope.correlationId == 0L -> handler(peer, envelope)
            else -> scope.launch { answer(envelope) }
        }
    }

    private suspend fun answer(envelope: Envelope) {
        val reply = handler(peer, envelope) ?: return
        enqueue(Envelope(reply, revision(), envelope.correlationId, isAnswer = true))
    }

    private suspend fun closeOnFailure(block: suspend () -> Unit) {
        try {
            block()
            close("the connection ended")
        } catch (e: Exception) {
            close(e.message ?: e.javaClass.simpleName)
        }
    }
}
