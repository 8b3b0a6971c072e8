package io.mimosatrail.daemon.entry.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.mimosatrail.core.calls.ClaimKey
import io.mimosatrail.core.calls.SlotOwner
import io.mimosatrail.core.calls.StoreFault
import io.mimosatrail.core.id.IdempotencyKey
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.protocol.CallAnswer
import io.mimosatrail.protocol.CallRefused
import io.mimosatrail.protocol.PeerError
import io.mimosatrail.protocol.PeerMessage
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val RETRY_AFTER_MILLIS = 1_000L

/**
 * Forwards one non-idempotent call to the owner of its key's slot. If the owner has changed or does not answer, looks
 * the owner up again and repeats the call under the same key, until the deadline. A call with a generated key is not
 * repeated once it may have run.
 *
 * Once an owner may have received the call without its result being known, the caller gets [Outcome.UNKNOWN] instead of
 * [Outcome.NOT_RUN], since a later refusal says nothing about that attempt.
 */
internal class KeyedCall(
    private val host: Host,
    private val owners: SlotOwnerCache,
    private val call: ServiceCall,
    private val key: IdempotencyKey,
) {
    private var mayHaveRun = false
    private var lastRefusal = refusal(RefusalReason.NO_UPSTREAM, null, "no owner of the key's slot is known")

    suspend fun call(): Result<CallAnswer, Refusal> {
        var retryDelay = MIN_RETRY_DELAY
        var isRetry = false
        while (host.clock() + retryDelay < call.deadline || !isRetry) {
            val owner = owners.ownerOf(ClaimKey(call.workspace, key), isRetry).getOrElse {
                return Err(withActualOutcome(storeUnavailable(it)))
            }
            if (owner != null) send(owner)?.let { return it }
            if (mayHaveRun && call.isKeyGenerated) break
            isRetry = true
            delay(retryDelay * Random.nextDouble(0.5, 1.0))
            retryDelay = minOf(retryDelay * 2, MAX_RETRY_DELAY)
        }
        return Err(withActualOutcome(lastRefusal))
    }

    /** Sends the call to [owner]. Null if the call may be sent again, to the owner that a new lookup finds. */
    private suspend fun send(owner: SlotOwner): Result<CallAnswer, Refusal>? {
        val remaining = call.deadline - host.clock()
        if (!remaining.isPositive()) return null
        val message = call.toMessage(remaining.inWholeMilliseconds)
        return host.peers.ask(owner.address, message, remaining + REPLY_MARGIN).mapBoth(
            success = { onReply(owner, it) },
            failure = { onError(owner, it) },
        )
    }

    private fun onReply(owner: SlotOwner, reply: PeerMessage): Result<CallAnswer, Refusal>? = when (reply) {
        is CallAnswer -> Ok(reply)
        is CallRefused -> onRefused(reply.refusal)
        else -> {
            mayHaveRun = true
            lastRefusal = refusal(RefusalReason.PEER_LOST, owner.instance, "the owner gave no usable answer")
            null
        }
    }

    private fun onRefused(refusal: Refusal): Result<CallAnswer, Refusal>? {
        lastRefusal = refusal
        val hasOtherOwner = refusal.reason == RefusalReason.STALE || refusal.reason == RefusalReason.DRAINING
        return if (hasOtherOwner && refusal.outcome == Outcome.NOT_RUN) null else Err(withActualOutcome(refusal))
    }

    private fun onError(owner: SlotOwner, error: PeerError): Result<CallAnswer, Refusal>? {
        if (error is PeerError.NoAnswer) mayHaveRun = true
        lastRefusal = refusal(RefusalReason.PEER_LOST, owner.instance, "the slot's owner did not answer: $error")
        return null
    }

    private fun storeUnavailable(fault: StoreFault) =
        refusal(RefusalReason.STORE_UNAVAILABLE, null, "the slots' owners are not known: ${fault.detail}")

    /** Replaces the outcome "not run" by "unknown" if an earlier attempt may have run. */
    private fun withActualOutcome(refusal: Refusal): Refusal =
        if (mayHaveRun && refusal.outcome == Outcome.NOT_RUN) refusal.copy(outcome = Outcome.UNKNOWN) else refusal

    private fun refusal(reason: RefusalReason, peer: InstanceId?, detail: String) =
        Refusal(Outcome.NOT_RUN, reason, Step.ROUTE, peer ?: host.self.id, detail, RETRY_AFTER_MILLIS)

    private companion object {
        val MIN_RETRY_DELAY = 50.milliseconds
        val MAX_RETRY_DELAY = 400.milliseconds

        /** Added to the timeout, so that an owner that fails the call at its deadline can still reply. */
        val REPLY_MARGIN = 500.milliseconds
    }
}
