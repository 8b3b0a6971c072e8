package io.mimosatrail.daemon.entry.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.core.retry.FailedAttempt
import io.mimosatrail.core.retry.RetryBudget
import io.mimosatrail.core.retry.RetryDecision
import io.mimosatrail.core.retry.RetryPolicy
import io.mimosatrail.daemon.entry.directory.UpstreamDirectory
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.protocol.CallAnswer
import io.mimosatrail.protocol.CallRefused
import io.mimosatrail.protocol.PeerError
import io.mimosatrail.protocol.PeerMessage
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration

private const val MAX_ATTEMPTS = 3
private const val RETRY_AFTER_MILLIS = 1_000L

/** Forwards idempotent calls to any upstream of their service. Retries at another upstream if one fails. */
internal class IdempotentCallForwarder(private val host: Host, private val directory: UpstreamDirectory) {
    private val retries = RetryPolicy(RetryBudget(), Random.Default, MAX_ATTEMPTS)

    suspend fun call(call: ServiceCall): Result<CallAnswer, Refusal> {
        val tried = mutableSetOf<InstanceId>()
        var mayHaveRun = false
        var lastRefusal =
            refusal(RefusalReason.NO_UPSTREAM, Outcome.NOT_RUN, host.self.id, "no upstream of the service is known")
        synchronized(retries) { retries.onFirstAttempt() }
        while (true) {
            val upstream = chooseUpstream(call, tried) ?: break
            tried += upstream.instance
            lastRefusal = send(call, upstream, MAX_ATTEMPTS - tried.size + 1).mapBoth({ return Ok(it) }, { it })
            mayHaveRun = mayHaveRun || lastRefusal.outcome != Outcome.NOT_RUN
            delay(retryDelay(FailedAttempt(tried.size, lastRefusal, isIdempotent = true, call.deadline)) ?: break)
        }
        return Err(if (mayHaveRun) lastRefusal.copy(outcome = Outcome.UNKNOWN) else lastRefusal)
    }

    /** Delay before the next attempt; null if there must be none. */
    private fun retryDelay(attempt: FailedAttempt): Duration? {
        val decision = synchronized(retries) { retries.decide(attempt, host.clock()) }
        return (decision as? RetryDecision.Retry)?.after
    }

    /** The less loaded of two random upstreams that are not in [tried]; null if there is none. */
    private fun chooseUpstream(call: ServiceCall, tried: Set<InstanceId>): UpstreamDescription? =
        directory.upstreamsOf(call.service.id)
            .filter { it.instance !in tried }
            .shuffled()
            .take(2)
            .minByOrNull { it.load.running + it.load.waiting }

    /** Sends the call once. Each attempt that is left gets an equal part of the time until the deadline. */
    private suspend fun send(
        call: ServiceCall,
        upstream: UpstreamDescription,
        attemptsLeft: Int,
    ): Result<CallAnswer, Refusal> {
        val timeout = (call.deadline - host.clock()) / attemptsLeft
        val message = call.toMessage(timeout.inWholeMilliseconds)
        return host.peers.ask(upstream.address, message, timeout).mapBoth(
            success = { onReply(upstream.instance, it) },
            failure = { onError(upstream.instance, it) },
        )
    }

    private fun onReply(from: InstanceId, reply: PeerMessage): Result<CallAnswer, Refusal> = when (reply) {
        is CallAnswer -> {
            reply.load?.let { directory.onLoad(from, it) }
            Ok(reply)
        }
        is CallRefused -> {
            reply.load?.let { directory.onLoad(from, it) }
            directory.onRefused(from, reply.refusal.reason)
            Err(reply.refusal)
        }
        else -> Err(refusal(RefusalReason.PEER_LOST, Outcome.UNKNOWN, from, "the sidecar gave no usable answer"))
    }

    private fun onError(from: InstanceId, error: PeerError): Result<CallAnswer, Refusal> {
        directory.onLost(from)
        val outcome = if (error is PeerError.NoAnswer) Outcome.UNKNOWN else Outcome.NOT_RUN
        return Err(refusal(RefusalReason.PEER_LOST, outcome, from, "the sidecar did not answer: $error"))
    }

    private fun refusal(reason: RefusalReason, outcome: Outcome, peer: InstanceId, detail: String) =
        Refusal(outcome, reason, Step.ROUTE, peer, detail, RETRY_AFTER_MILLIS)
}
