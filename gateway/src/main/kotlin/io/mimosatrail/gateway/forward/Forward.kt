package io.mimosatrail.gateway.forward

import io.mimosatrail.core.front.RouteKind
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.core.send.SendEnd
import io.mimosatrail.core.send.SendHistory
import io.mimosatrail.core.stall.StreamActivity
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.net.ConnectionKey
import io.mimosatrail.gateway.net.Lease
import io.mimosatrail.gateway.wire.OrderOutcome
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Carries one request to upstreams and their answer back, until it has its final answer. Confined to the event loop.
 */
internal class Forward(
    private val call: RoutedCall,
    private val targets: TargetChooser,
    private val context: ForwardContext,
) {
    private val history = SendHistory(call.route)
    private val answer = CallerAnswer(call, context)
    private var attempt: Attempt? = null
    private var failedConnects = 0
    private var isOver = false
    private var waitingSince: Moment? = null
    private var sendAfter: Moment? = null
    private val unreachable = HashSet<InstanceId>()

    /** Where the next send goes, if it was found and paid for before the last one was given up. */
    private var nextTarget: Target? = null

    /** Sends the request for the first time. */
    fun start() {
        context.inFlight += this
        call.caller.onGone = ::onGone
        call.caller.onWritable = { attempt?.setReading(true) }
        context.retries.onFirstAttempt(call.service.id, context.clock())
        sendNext()
    }

    /** Looks at the deadlines. */
    fun onTick(now: Moment) {
        if (isOver) return
        if (now >= call.giveUpAt) return giveUp()
        val pending = attempt
        if (pending == null) {
            if (sendAfter?.let { now >= it } ?: true) sendNext()
        } else if (pending.isSilent(now)) {
            pending.investigate(now)
        }
    }

    /** What the stream shows, or null where it is not being written or waits for its new path. */
    fun sign(now: Moment): StreamActivity? = attempt?.takeIf { answer.hasBegun }?.sign(now)

    /** Leads the stream around [engine], which is down. */
    fun onEngineDown(engine: InstanceId) {
        if (!isOver) attempt?.onEngineDown(engine)
    }

    private fun sendNext() {
        val target = nextTarget ?: choose() ?: return onNoTarget()
        nextTarget = null
        waitingSince = null
        sendAfter = null
        val next = Attempt(target)
        attempt = next
        next.begin()
    }

    private fun choose(): Target? = targets.choose(history.excludedUpstreams + unreachable)

    /** Waits for room as long as the answer can still begin in time, then refuses. */
    private fun onNoTarget() {
        val now = context.clock()
        val since = waitingSince ?: now.also { waitingSince = it }
        val limit = if (answer.hasBegun) LONGEST_PAUSE else minOf(call.route.target * WAITED_TARGETS, LONGEST_WAIT)
        if (now - since >= limit) finish(noTarget())
    }

    private fun onNotConnected(ended: Attempt, detail: String) {
        ended.release()
        attempt = null
        val upstream = ended.target.upstream.id
        context.traffic.onDetectedDown(upstream, context.clock())
        unreachable += upstream
        failedConnects++
        log("not-connected", ended, "detail" to detail)
        if (failedConnects <= MAX_FAILED_CONNECTS) sendNext() else finish(unavailable(Step.SEND, detail))
    }

    private fun onFailed(ended: Attempt, end: SendEnd, detail: String) {
        ended.release()
        attempt = null
        history.onEnd(end)
        context.meters.onSendEnd(end.name)
        log("send-failed", ended, "end" to end, "detail" to detail)
        if (maySendAgain()) return sendAgain()
        finish(failure(ended, end, detail))
    }

    /** Sends again, after a pause that grows once several upstreams have refused. */
    private fun sendAgain() {
        val refusals = history.notRunSends
        if (refusals < IMMEDIATE_REFUSALS) return sendNext()
        nextTarget = null
        sendAfter = context.clock() + REFUSAL_PAUSE * (refusals - IMMEDIATE_REFUSALS + 1)
    }

    private fun maySendAgain(): Boolean {
        if (!history.maySendAgain() || context.clock() + LEAST_TIME_FOR_SEND >= call.giveUpAt) return false
        if (answer.hasBegun && !call.route.isResumable) return false
        return nextTarget != null || payForSend()
    }

    private fun payForSend(): Boolean = context.retries.tryAcquire(call.service.id, context.clock())

    /** Finds and pays for another send while one is open; false where there is none or no budget is left. */
    private fun prepareNextSend(): Boolean {
        if (!history.mayRetryAfterRun()) return false
        val next = choose() ?: return false
        if (!payForSend()) return false
        nextTarget = next
        return true
    }

    private fun giveUp() {
        val pending = attempt
        val hadSent = pending?.isSent == true
        pending?.abort()
        attempt = null
        if (hadSent) history.onEnd(SendEnd.SILENT)
        val detail = "no answer within ${call.patience}"
        finish(
            if (history.hasNotRun) {
                unavailable(Step.SEND, detail)
            } else {
                refusal(Outcome.UNKNOWN, RefusalReason.DEADLINE, Step.ANSWER, pending, detail)
            },
        )
    }

    private fun onGone() {
        val pending = attempt
        attempt = null
        pending?.abort()
        log("caller-gone", pending, "after" to (context.clock() - call.caller.receivedAt), *answer.pace.fields())
        end()
    }

    private fun finish(refusal: Refusal) {
        if (answer.hasBegun) answer.cut(refusal) else answer.refuse(refusal)
        end()
    }

    private fun end() {
        isOver = true
        context.inFlight -= this
    }

    private fun noTarget() = refusal(
        if (history.hasNotRun) Outcome.NOT_RUN else Outcome.UNKNOWN,
        RefusalReason.NO_UPSTREAM,
        Step.ROUTE,
        null,
        "no upstream of ${call.service.id} has room",
        RETRY_AFTER_NO_ROOM,
    )

    private fun unavailable(step: Step, detail: String) =
        refusal(Outcome.NOT_RUN, RefusalReason.BUSY, step, null, detail, RETRY_AFTER_BUSY)

    private fun failure(ended: Attempt, end: SendEnd, detail: String): Refusal = when {
        history.hasNotRun -> unavailable(Step.SEND, "$end at ${ended.target.upstream.id}: $detail")
        end == SendEnd.SILENT -> refusal(Outcome.UNKNOWN, RefusalReason.DEADLINE, Step.ANSWER, ended, detail)
        else -> refusal(Outcome.UNKNOWN, RefusalReason.UPSTREAM_ERROR, Step.ANSWER, ended, detail)
    }

    private fun refusal(
        outcome: Outcome,
        reason: RefusalReason,
        step: Step,
        at: Attempt?,
        detail: String,
        retryAfter: Duration? = null,
    ) = Refusal(outcome, reason, step, at?.target?.upstream?.id, detail, retryAfter?.inWholeMilliseconds)

    private fun log(event: String, at: Attempt?, vararg more: Pair<String, Any?>) = logEvent(
        "forward",
        event,
        "request" to call.fields.request,
        "target" to at?.target,
        "sends" to history.sends,
        "configuration" to call.configurationVersion,
        "registry-age" to context.registry.age(context.clock()),
        *more,
    )

    /** One send. */
    private inner class Attempt(target: Target) : AttemptOwner {
        private val exchange = UpstreamExchange(call, target, context, answer, this)
        private var isReleased = false
        private var investigateAfter: Moment? = null
        private var isRedirecting = false

        var target = target
            private set

        val isSent: Boolean get() = exchange.isSent

        fun begin() {
            context.traffic.onStart(target.upstream.id)
            context.traffic.reserve(target.path, target.tokens)
            val key = ConnectionKey(target.upstream.address, target.upstream.id)
            val most = (call.service.maxConnections / context.share().entries).coerceAtLeast(1)
            context.pool.lease(key, most, ::onLease)
        }

        fun isSilent(now: Moment): Boolean =
            exchange.isSilent(now) && !isRedirecting && investigateAfter?.let { now >= it } ?: true

        fun sign(now: Moment): StreamActivity? =
            if (isRedirecting || target.path.isEmpty()) null else exchange.sign(now)

        fun setReading(isReading: Boolean) = exchange.setReading(isReading)

        fun abort() {
            exchange.abort()
            release()
        }

        fun release() {
            if (isReleased) return
            isReleased = true
            context.traffic.onEnd(target.upstream.id)
            context.traffic.release(target.path, target.tokens)
        }

        /** Finds out what the answer waits for, and sends elsewhere where that is allowed. */
        fun investigate(now: Moment) {
            investigateAfter = now + INVESTIGATION_PAUSE
            if (target.path.isEmpty()) return onPlainSilence(now)
            context.stalls.run(target.upstream) {
                val later = context.clock()
                if (attempt === this && !isRedirecting && exchange.isVerySilent(later)) {
                    failIfRepeatable("no event for ${exchange.silence(later)}")
                }
            }
        }

        /** Redirects the stream if it passes [engine]; one that begins there has to be sent again. */
        fun onEngineDown(engine: InstanceId) {
            if (isRedirecting || !isSent || engine !in target.members) return
            if (engine == target.upstream.id) return failIfRepeatable("engine $engine is down")
            val request = call.fields.request
            val next = if (request == null) null else targets.redirect(target)
            if (request == null || next == null) return failIfRepeatable("no way around engine $engine")
            isRedirecting = true
            context.scope.launch { redirect(request, next) }
        }

        private suspend fun redirect(request: RequestId, next: Target) {
            val outcome = context.engines.repath(next.upstream, request, next.path)
            log("redirected", this, "to" to next, "outcome" to outcome)
            isRedirecting = false
            if (attempt !== this) return
            if (outcome != OrderOutcome.Accepted) return failIfRepeatable("the stream could not be redirected")
            context.traffic.release(target.path, target.tokens)
            target = next
            context.traffic.reserve(target.path, target.tokens)
            exchange.onRedirected()
        }

        private fun onPlainSilence(now: Moment) {
            context.traffic.onDetectedDown(target.upstream.id, now)
            failIfRepeatable("no answer for ${exchange.silence(now)}")
        }

        /** Ends the send so that the request goes elsewhere, unless that is not allowed; then it waits on. */
        private fun failIfRepeatable(detail: String) {
            if (call.route.isRepeatable && prepareNextSend()) exchange.fail(SendEnd.SILENT, detail)
        }

        override fun onFailed(end: SendEnd, detail: String) = onFailed(this, end, detail)

        override fun mayReplaceFailure(): Boolean = call.route.kind == RouteKind.IDEMPOTENT && prepareNextSend()

        override fun onComplete() {
            release()
            attempt = null
            history.onAnswered()
            context.meters.onSendEnd("ANSWERED")
            val took = context.clock() - call.caller.receivedAt
            log("answered", this, "status" to answer.status, "took" to took, *answer.pace.fields())
            end()
        }

        private fun onLease(lease: Lease) {
            val isWanted = attempt === this
            when (lease) {
                is Lease.Failed -> if (isWanted) onNotConnected(this, lease.detail)
                is Lease.Ready -> if (isWanted) send(lease) else context.pool.release(lease.connection)
            }
        }

        private fun send(lease: Lease.Ready) {
            history.onSend(target.upstream.id)
            if (history.sends == 1) log("sent", this) else log("sent-again", this)
            exchange.send(lease.connection)
        }
    }

    private companion object {
        /** Connections that may fail before a request is refused. */
        const val MAX_FAILED_CONNECTS = 3

        /** An answer that begins after its objective is worth less, but more than none. */
        const val WAITED_TARGETS = 1.5
        val LONGEST_WAIT = 800.milliseconds

        /** Callers leave a stream that pauses for two seconds. */
        val LONGEST_PAUSE = 1_200.milliseconds

        /** The first refusal is often of one engine only; after more of them room is short everywhere for a moment. */
        const val IMMEDIATE_REFUSALS = 2
        val REFUSAL_PAUSE = 100.milliseconds

        /** A silent answer is looked into this often. */
        val INVESTIGATION_PAUSE = 400.milliseconds

        /** A send that would have less time than this is not made. */
        val LEAST_TIME_FOR_SEND = 50.milliseconds

        /** Room comes back as streams end, a few a second at each engine. */
        val RETRY_AFTER_NO_ROOM = 700.milliseconds

        /** A refusing upstream is asked again after about one answer's time. */
        val RETRY_AFTER_BUSY = 400.milliseconds
    }
}

/** Hears how a send goes on. */
internal interface AttemptOwner {
    /** The send ended without an answer that could be passed on. */
    fun onFailed(end: SendEnd, detail: String)

    /** True where a failure that the upstream answered may be replaced by another send. */
    fun mayReplaceFailure(): Boolean

    /** The answer has been passed on whole. */
    fun onComplete()
}
