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
 * One non-idempotent call: finds the owner of its slot and asks it, again under the same key where the owner changed.
 *
 * Once a message may have arrived without a known end, no later refusal is passed on as not run.
 */
internal class KeyedCall(
    private val host: Host,
    private val owners: OwnerCache,
    private val call: ServiceCall,
    private val key: IdempotencyKey,
) {
    private var mayHaveRun = false
    private var last = refusal(RefusalReason.NO_UPSTREAM, null, "no owner of the key's slot is known")

    suspend fun call(): Result<CallAnswer, Refusal> {
        var pause = FIRST_PAUSE
        var wrong = false
        while (host.clock() + pause < call.deadline || !wrong) {
            val owner = owners.ownerOf(ClaimKey(call.workspace, key), wrong).getOrElse {
                return Err(honest(storeDown(it)))
            }
            if (owner != null) ask(owner)?.let { return it }
            if (mayHaveRun && call.keyIsMinted) break
            wrong = true
            delay(pause * Random.nextDouble(0.5, 1.0))
            pause = minOf(pause * 2, LAST_PAUSE)
        }
        return Err(honest(last))
    }

    /** Asks [owner]; null where another owner may be asked. */
    private suspend fun ask(owner: SlotOwner): Result<CallAnswer, Refusal>? {
        val remaining = call.deadline - host.clock()
        if (!remaining.isPositive()) return null
        val message = call.toMessage(remaining.inWholeMilliseconds)
        return host.peers.ask(owner.address, message, remaining + ANSWER_MARGIN).mapBoth(
            success = { onReply(owner, it) },
            failure = { onError(owner, it) },
        )
    }

    private fun onReply(owner: SlotOwner, reply: PeerMessage): Result<CallAnswer, Refusal>? = when (reply) {
        is CallAnswer -> Ok(reply)
        is CallRefused -> onRefused(reply.refusal)
        else -> {
            mayHaveRun = true
            last = refusal(RefusalReason.PEER_LOST, owner.instance, "the owner gave no usable answer")
            null
        }
    }

    private fun onRefused(refusal: Refusal): Result<CallAnswer, Refusal>? {
        last = refusal
        val isElsewhere = refusal.reason == RefusalReason.STALE || refusal.reason == RefusalReason.DRAINING
        return if (isElsewhere && refusal.outcome == Outcome.NOT_RUN) null else Err(honest(refusal))
    }

    private fun onError(owner: SlotOwner, error: PeerError): Result<CallAnswer, Refusal>? {
        if (error is PeerError.NoAnswer) mayHaveRun = true
        last = refusal(RefusalReason.PEER_LOST, owner.instance, "the slot's owner did not answer: $error")
        return null
    }

    private fun storeDown(fault: StoreFault) =
        refusal(RefusalReason.STORE_UNAVAILABLE, null, "the slots' owners are not known: ${fault.detail}")

    private fun honest(refusal: Refusal): Refusal =
        if (mayHaveRun && refusal.outcome == Outcome.NOT_RUN) refusal.copy(outcome = Outcome.UNKNOWN) else refusal

    private fun refusal(reason: RefusalReason, peer: InstanceId?, detail: String) =
        Refusal(Outcome.NOT_RUN, reason, Step.ROUTE, peer ?: host.self.id, detail, RETRY_AFTER_MILLIS)

    private companion object {
        val FIRST_PAUSE = 50.milliseconds
        val LAST_PAUSE = 400.milliseconds
        val ANSWER_MARGIN = 500.milliseconds
    }
}
