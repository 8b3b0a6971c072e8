package io.mimosatrail.daemon.sidecar.call

import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import io.mimosatrail.core.calls.AttemptId
import io.mimosatrail.core.calls.CallAttempt
import io.mimosatrail.core.calls.CallCodec
import io.mimosatrail.core.calls.CallDecision
import io.mimosatrail.core.calls.CallEffect
import io.mimosatrail.core.calls.CallKeys
import io.mimosatrail.core.calls.CallTime
import io.mimosatrail.core.calls.ClaimJournal
import io.mimosatrail.core.calls.ClaimKey
import io.mimosatrail.core.calls.RequestHash
import io.mimosatrail.core.calls.RunResult
import io.mimosatrail.core.calls.WallTime
import io.mimosatrail.core.id.IdempotencyKey
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.protocol.CallRefused
import io.mimosatrail.protocol.PeerMessage
import io.mimosatrail.protocol.PlainCall
import io.mimosatrail.upstream.PlainClient
import io.mimosatrail.upstream.UpstreamError
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

private val log = KotlinLogging.logger("calls")

/** Runs one [ClaimJournal]: passes it calls and time, and carries out its effects. */
internal class JournalHost(
    private val host: Host,
    private val plain: PlainClient,
    private val keys: CallKeys,
    private val counters: CallCounters,
    private val wall: () -> WallTime,
    private val journal: ClaimJournal,
) {
    private class Waiting(val call: PlainCall, val reply: CompletableDeferred<CallDecision>)

    private val attempts = ConcurrentHashMap<AttemptId, Waiting>()
    private val numbers = AtomicLong()

    /** True when nothing is in flight. */
    val isQuiet: Boolean get() = journal.isIdle

    /** Runs [call] under [key], or tells what is known of it. */
    suspend fun call(call: PlainCall, key: IdempotencyKey): PeerMessage {
        val attempt = attemptOf(call, ClaimKey(call.workspace, key))
        val waiting = Waiting(call, CompletableDeferred())
        attempts[attempt.id] = waiting
        try {
            apply(journal.onCall(attempt, time()))
            return waiting.reply.await().toMessage()
        } finally {
            attempts.remove(attempt.id)
        }
    }

    fun tick() = apply(journal.tick(time()))

    private fun time() = CallTime(host.clock(), wall())

    private fun attemptOf(call: PlainCall, key: ClaimKey): CallAttempt {
        val hash = RequestHash.of(call.method, call.path, call.body)
        val deadline = host.clock() + call.remainingMillis.milliseconds
        return CallAttempt(AttemptId(numbers.incrementAndGet()), key, hash, deadline)
    }

    private fun apply(effects: List<CallEffect>) = effects.forEach { effect ->
        when (effect) {
            is CallEffect.Append -> host.scope.launch { append(effect) }
            is CallEffect.Run -> run(effect.attempt)
            is CallEffect.Reply -> attempts[effect.attempt]?.reply?.complete(effect.decision)
            is CallEffect.EpochLost -> onLost()
        }
    }

    private suspend fun append(effect: CallEffect.Append) {
        val key = keys.record(journal.epoch, effect.sequence)
        counters.onJournalWrite()
        val reply = try {
            host.store(StoreCommand.Put(key, CallCodec.encode(effect.record), expected = StoreRevision(0)))
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            StoreReply.Uncertain(e.message ?: e.javaClass.simpleName)
        }
        apply(journal.onAppended(reply, time()))
    }

    private fun run(attempt: AttemptId) {
        val waiting = attempts[attempt]
        host.scope.launch {
            val result = waiting?.let { send(it.call) } ?: RunResult.NotRun("the caller left before the call was sent")
            apply(journal.onResult(attempt, result, time()))
        }
    }

    private suspend fun send(call: PlainCall): RunResult {
        counters.running.incrementAndGet()
        try {
            return plain.send(call, maxOf(call.remainingMillis, MIN_RUN_MILLIS)).mapBoth(
                success = { RunResult.Answered(it) },
                failure = { it.toResult() },
            )
        } finally {
            counters.running.decrementAndGet()
        }
    }

    private fun UpstreamError.toResult(): RunResult = when (this) {
        is UpstreamError.NotRun -> RunResult.NotRun(detail)
        is UpstreamError.Uncertain, is UpstreamError.Conflict -> RunResult.Uncertain(detail)
    }

    private fun onLost() {
        counters.onEpochLost()
        log.warn { "calls: epoch ${journal.epoch} was sealed by another instance" }
    }

    private fun CallDecision.toMessage(): PeerMessage = when (this) {
        is CallDecision.Answer -> answer.toMessage(replayed)
        is CallDecision.Refuse -> CallRefused(refusal)
    }

    private companion object {
        /** A call that may not be repeated gets this long to end, so that a late answer is kept for its caller. */
        const val MIN_RUN_MILLIS = 30_000L
    }
}
