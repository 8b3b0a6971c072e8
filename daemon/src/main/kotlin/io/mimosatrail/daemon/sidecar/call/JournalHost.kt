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

/** Runs one [ClaimJournal]: passes calls and the time to it and carries out its effects. */
internal class JournalHost(
    private val host: Host,
    private val client: PlainClient,
    private val keys: CallKeys,
    private val counters: CallCounters,
    private val wallClock: () -> WallTime,
    private val journal: ClaimJournal,
) {
    private class PendingCall(val call: PlainCall, val reply: CompletableDeferred<CallDecision>)

    private val pendingCalls = ConcurrentHashMap<AttemptId, PendingCall>()
    private val lastAttemptId = AtomicLong()

    /** True when no call is pending and the journal has nothing left to store. */
    val isIdle: Boolean get() = journal.isIdle

    /** Runs [call] at most once for [key]. Returns the known result if the key was used for the same call before. */
    suspend fun call(call: PlainCall, key: IdempotencyKey): PeerMessage {
        val attempt = attemptOf(call, ClaimKey(call.workspace, key))
        val pendingCall = PendingCall(call, CompletableDeferred())
        pendingCalls[attempt.id] = pendingCall
        try {
            apply(journal.onCall(attempt, now()))
            return pendingCall.reply.await().toMessage()
        } finally {
            pendingCalls.remove(attempt.id)
        }
    }

    fun tick() = apply(journal.tick(now()))

    private fun now() = CallTime(host.clock(), wallClock())

    private fun attemptOf(call: PlainCall, key: ClaimKey): CallAttempt {
        val hash = RequestHash.of(call.method, call.path, call.body)
        val deadline = host.clock() + call.remainingMillis.milliseconds
        return CallAttempt(AttemptId(lastAttemptId.incrementAndGet()), key, hash, deadline)
    }

    private fun apply(effects: List<CallEffect>) = effects.forEach { effect ->
        when (effect) {
            is CallEffect.Append -> host.scope.launch { append(effect) }
            is CallEffect.Run -> run(effect.attempt)
            is CallEffect.Reply -> pendingCalls[effect.attempt]?.reply?.complete(effect.decision)
            is CallEffect.EpochLost -> onEpochLost()
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
        apply(journal.onAppended(reply, now()))
    }

    private fun run(attempt: AttemptId) {
        val pendingCall = pendingCalls[attempt]
        host.scope.launch {
            val result =
                pendingCall?.let { send(it.call) } ?: RunResult.NotRun("the caller left before the call was sent")
            apply(journal.onResult(attempt, result, now()))
        }
    }

    private suspend fun send(call: PlainCall): RunResult {
        counters.running.incrementAndGet()
        try {
            return client.send(call, maxOf(call.remainingMillis, MIN_TIMEOUT_MILLIS)).mapBoth(
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

    private fun onEpochLost() {
        counters.onEpochLost()
        log.warn { "calls: epoch ${journal.epoch} is lost: another instance has sealed its journal" }
    }

    private fun CallDecision.toMessage(): PeerMessage = when (this) {
        is CallDecision.Answer -> answer.toMessage(replayed)
        is CallDecision.Refuse -> CallRefused(refusal)
    }

    private companion object {
        /**
         * Minimum timeout of a call that must not be sent twice. It may outlast the deadline of the caller: the late
         * answer is stored and replayed when the caller repeats the key.
         */
        const val MIN_TIMEOUT_MILLIS = 30_000L
    }
}
