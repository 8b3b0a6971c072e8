package io.mimosatrail.gateway.forward

import io.mimosatrail.core.front.RouteKind
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.send.SendEnd
import io.mimosatrail.core.send.SendHistory
import io.mimosatrail.core.stall.StreamActivity
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.net.ConnectionKey
import io.mimosatrail.gateway.net.Lease
import io.mimosatrail.gateway.net.UpstreamConnection
import io.mimosatrail.gateway.wire.OrderOutcome
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Forwards one request to upstreams, retries it where that is allowed, and returns the final response to the caller.
 * Confined to the event loop.
 */
internal class ForwardedRequest(
    private val call: RoutedCall,
    private val targets: TargetChooser,
    private val context: ForwardContext,
) {
    private val history = SendHistory(call.route)
    private val response = CallerResponse(call, context)
    private val refusals = RequestRefusals(call, history)
    private var attempt: Attempt? = null
    private var failedConnects = 0
    private var isFinished = false

    /** Time since which no target has been available, or null if the last choice found one. */
    private var noTargetSince: Moment? = null

    /** The next attempt starts no earlier than this; null if it may start at once. */
    private var retryAt: Moment? = null
    private val unreachable = HashSet<InstanceId>()
    private val usedConnections = HashSet<UpstreamConnection>()

    /** Target of the next attempt if it was chosen, and its retry acquired, before the current attempt was aborted. */
    private var preparedTarget: Target? = null

    /** Starts the first attempt. */
    fun start() {
        context.inFlight += this
        call.caller.onDisconnected = ::onDisconnected
        call.caller.onWritable = { attempt?.setReading(true) }
        context.retries.onFirstAttempt(call.service.id, context.clock())
        sendNext()
    }

    /** Enforces the deadline, starts a delayed attempt, and checks an open attempt for silence. */
    fun onTick(now: Moment) {
        if (isFinished) return
        if (now >= call.deadline) return onDeadline()
        val pending = attempt
        if (pending == null) {
            if (retryAt?.let { now >= it } ?: true) sendNext()
        } else if (pending.isSilent(now)) {
            pending.investigate(now)
        }
    }

    /** Activity of the stream, or null if its response has not begun, it has no path or it is being redirected. */
    fun streamActivity(now: Moment): StreamActivity? = attempt?.takeIf { response.hasBegun }?.streamActivity(now)

    /** Redirects the stream around [engine], which is down, if its path contains it. */
    fun onEngineDown(engine: InstanceId) {
        if (!isFinished) attempt?.onEngineDown(engine)
    }

    private fun sendNext() {
        context.quarantine.find(call.fields.sharedParts, context.clock())?.let {
            return finish(refusals.quarantined(it))
        }
        val target = preparedTarget ?: choose() ?: return onNoTarget()
        preparedTarget = null
        noTargetSince = null
        retryAt = null
        val next = Attempt(target)
        attempt = next
        next.begin()
    }

    /** Chooses a target. The request counts as sent to it, so it has to be sent or passed to [discard]. */
    private fun choose(): Target? = targets.choose(excluded())?.also { context.limits.onSend(it.upstream.id) }

    private fun discard(target: Target) = context.limits.onNotSent(target.upstream.id)

    /**
     * True if an answer that arrives over [connection] and has the id of this request can only be the answer to the
     * next send. A connection that has carried an earlier send may bring the refusal of that send once more.
     */
    private fun isSuitable(connection: UpstreamConnection): Boolean =
        if (call.fields.request == null) connection.isUnused else connection !in usedConnections

    private fun excluded(): Set<InstanceId> = history.excludedUpstreams + unreachable

    /** Waits for free capacity while the response can still begin or continue in time, then refuses the request. */
    private fun onNoTarget() {
        val now = context.clock()
        val since = noTargetSince
        val limit = if (response.hasBegun) MAX_STREAM_PAUSE else minOf(call.route.target * MAX_WAIT_FACTOR, MAX_WAIT)
        when {
            since == null -> {
                noTargetSince = now
                if (!response.hasBegun) refuseIfHopeless(limit)
            }
            now - since >= limit -> finish(refusals.noTarget())
        }
    }

    /** Refuses the request at once if the limits of the upstreams leave no room for it within [limit]. */
    private fun refuseIfHopeless(limit: Duration) {
        val wait = context.limits.timeUntilSend(targets.possibleUpstreams(excluded()), waitingBefore())
        if (wait < limit) return
        finish(if (wait.isFinite()) refusals.noTarget(minOf(wait, MAX_RETRY_AFTER)) else refusals.noTarget())
    }

    /** Number of other requests for the same service that wait for a target. */
    private fun waitingBefore(): Int =
        context.inFlight.count { it !== this && it.noTargetSince != null && it.call.service.id == call.service.id }

    private fun onNotConnected(ended: Attempt, detail: String) {
        ended.release()
        attempt = null
        val upstream = ended.target.upstream.id
        context.traffic.onDetectedDown(upstream, context.clock())
        unreachable += upstream
        failedConnects++
        log("not-connected", ended, "detail" to detail)
        if (failedConnects <= MAX_FAILED_CONNECTS) sendNext() else finish(refusals.busy(detail))
    }

    private fun onFailed(ended: Attempt, end: SendEnd, detail: String) {
        ended.release()
        attempt = null
        history.onEnd(end)
        context.meters.onSendEnd(end.name)
        log("send-failed", ended, "end" to end, "detail" to detail)
        val obstacle = retryObstacle() ?: return sendAgain()
        log("not-sent-again", ended, "reason" to obstacle)
        finish(refusals.failed(ended.target.upstream.id, end, detail))
    }

    /** Starts another attempt. From the second refusal on, it is delayed by a pause that grows with each refusal. */
    private fun sendAgain() {
        val refused = history.notRunSends
        if (refused < IMMEDIATE_REFUSALS) return sendNext()
        preparedTarget?.let(::discard)
        preparedTarget = null
        retryAt = context.clock() + REFUSAL_PAUSE * (refused - IMMEDIATE_REFUSALS + 1)
    }

    /** Why the request is not sent again, or null if it is; a retry has been acquired for it then. */
    private fun retryObstacle(): RetryObstacle? {
        val now = context.clock()
        return when {
            !history.maySendAgain() -> RetryObstacle.SENDS
            now + MIN_TIME_FOR_SEND >= call.deadline -> RetryObstacle.DEADLINE
            response.hasBegun && !call.route.isResumable -> RetryObstacle.NOT_RESUMABLE
            isPromptSuspected(now) -> RetryObstacle.SUSPECTED_PROMPT
            preparedTarget == null && !acquireRetry() -> RetryObstacle.BUDGET
            else -> null
        }
    }

    private fun isPromptSuspected(now: Moment): Boolean =
        !history.hasNotRun && context.quarantine.isSuspect(call.fields.sharedParts, now)

    private fun acquireRetry(): Boolean =
        context.retries.tryAcquire(call.service.id, context.clock(), response.hasBegun)

    /**
     * Chooses a target for a retry while the current send is still open, and acquires the retry from the budget.
     * Returns false if no further run is allowed, no target is available or the budget is used up.
     */
    private fun prepareRetry(): Boolean {
        if (!history.mayRetryAfterRun()) return false
        val next = choose() ?: return false
        if (!acquireRetry()) {
            discard(next)
            return false
        }
        preparedTarget = next
        return true
    }

    private fun onDeadline() {
        val pending = attempt
        val hadSent = pending?.isSent == true
        pending?.abort()
        attempt = null
        if (hadSent) history.onEnd(SendEnd.SILENT)
        finish(refusals.deadline(pending?.target?.upstream?.id))
    }

    private fun onDisconnected() {
        val pending = attempt
        attempt = null
        pending?.abort()
        val after = context.clock() - call.caller.receivedAt
        log("caller-gone", pending, "after" to after, *response.timing.logFields())
        end()
    }

    private fun finish(refusal: Refusal) {
        if (response.hasBegun) response.cut(refusal) else response.refuse(refusal)
        end()
    }

    private fun end() {
        isFinished = true
        context.inFlight -= this
    }

    private fun log(event: String, at: Attempt?, vararg more: Pair<String, Any?>) = logEvent(
        "forward",
        event,
        "request" to call.fields.request,
        "target" to at?.target,
        "sends" to history.sends,
        "upstream-limit" to at?.let { context.limits[it.target.upstream.id] },
        "configuration" to call.configurationVersion,
        "registry-age" to context.registry.age(context.clock()),
        *more,
    )

    /** One attempt to send the request to an upstream and relay its response. */
    private inner class Attempt(target: Target) : ExchangeCallbacks {
        private val exchange = UpstreamExchange(call, target, context, response, this)
        private var isReleased = false

        /** The next investigation starts no earlier than this; null before the first. */
        private var investigateAt: Moment? = null
        private var isRedirecting = false

        /** Changes when the stream is redirected to another path. */
        var target = target
            private set

        val isSent: Boolean get() = exchange.isSent

        fun begin() {
            context.traffic.onStart(target.upstream.id)
            context.traffic.reserve(target.path, target.tokens)
            val key = ConnectionKey(target.upstream.address, target.upstream.id)
            val maxConnections = (call.service.maxConnections / context.share().entries).coerceAtLeast(1)
            context.pool.lease(key, maxConnections, ::isSuitable, ::onLease)
        }

        fun isSilent(now: Moment): Boolean =
            exchange.isSilent(now) && !isRedirecting && investigateAt?.let { now >= it } ?: true

        fun streamActivity(now: Moment): StreamActivity? =
            if (isRedirecting || target.path.isEmpty()) null else exchange.streamActivity(now)

        fun setReading(isReading: Boolean) = exchange.setReading(isReading)

        fun abort() {
            exchange.abort()
            release()
        }

        /** Removes this attempt from the upstream's load. */
        fun release() {
            if (isReleased) return
            isReleased = true
            if (!isSent) discard(target)
            context.traffic.onEnd(target.upstream.id)
            context.traffic.release(target.path, target.tokens)
        }

        /** Finds out which engines the silent response waits for, and retries elsewhere if that is allowed. */
        fun investigate(now: Moment) {
            investigateAt = now + INVESTIGATION_INTERVAL
            if (target.path.isEmpty()) return onPlainUpstreamSilent(now)
            context.stallSearch.run(target.upstream) {
                val later = context.clock()
                if (attempt === this && !isRedirecting && exchange.isSilentTooLong(later)) {
                    failIfRepeatable("no event for ${exchange.silence(later)}")
                }
            }
        }

        /**
         * Redirects the stream if its path contains [engine]. If [engine] is the first of the path, or there is no
         * other path, the request has to be sent again.
         */
        fun onEngineDown(engine: InstanceId) {
            if (isRedirecting || !isSent || engine !in target.upstreamIds) return
            if (engine == target.upstream.id) return failIfRepeatable("engine $engine is down")
            val request = call.fields.request
            val next = if (request == null) null else targets.redirect(target)
            if (request == null || next == null) return failIfRepeatable("no way around engine $engine")
            isRedirecting = true
            context.scope.launch { redirect(request, next) }
        }

        private suspend fun redirect(request: RequestId, next: Target) {
            val outcome = context.engines.redirectStream(next.upstream, request, next.path)
            log("redirected", this, "to" to next, "outcome" to outcome)
            isRedirecting = false
            if (attempt !== this) return
            if (outcome != OrderOutcome.Accepted) return failIfRepeatable("the stream could not be redirected")
            context.traffic.release(target.path, target.tokens)
            target = next
            context.traffic.reserve(target.path, target.tokens)
            exchange.onRedirected()
        }

        private fun onPlainUpstreamSilent(now: Moment) {
            context.traffic.onDetectedDown(target.upstream.id, now)
            failIfRepeatable("no answer for ${exchange.silence(now)}")
        }

        /** Ends the attempt so that the request is sent elsewhere. Keeps waiting if a retry is not allowed. */
        private fun failIfRepeatable(detail: String) {
            if (call.route.isRepeatable && prepareRetry()) exchange.fail(SendEnd.SILENT, detail)
        }

        override fun onFailed(end: SendEnd, detail: String) {
            if (end == SendEnd.BROKEN && exchange.hasJustBegun) {
                context.crashWatch.onBroken(target.upstream, call.fields.promptParts)
            }
            onFailed(this, end, detail)
        }

        override fun mayReplaceFailure(): Boolean = call.route.kind == RouteKind.IDEMPOTENT && prepareRetry()

        override fun onComplete() {
            release()
            attempt = null
            history.onAnswered()
            if (response.status == HttpResponseStatus.OK.code()) {
                context.quarantine.onAnswered(call.fields.sharedParts, context.clock())
            }
            context.meters.onSendEnd("ANSWERED")
            val took = context.clock() - call.caller.receivedAt
            log("answered", this, "status" to response.status, "took" to took, *response.timing.logFields())
            end()
        }

        private fun onLease(lease: Lease) {
            val isCurrent = attempt === this
            when (lease) {
                is Lease.Failed -> if (isCurrent) onNotConnected(this, lease.detail)
                is Lease.Ready -> if (isCurrent) send(lease) else context.pool.release(lease.connection)
            }
        }

        private fun send(lease: Lease.Ready) {
            history.onSend(target.upstream.id)
            usedConnections += lease.connection
            if (history.sends == 1) context.quarantine.onSent(call.fields.sharedParts)
            val prompt = call.fields.promptParts.joinToString("/")
            log(if (history.sends == 1) "sent" else "sent-again", this, "prompt" to prompt)
            exchange.send(lease.connection)
        }
    }

    private companion object {
        /** The request is refused after one more failed connection than this. */
        const val MAX_FAILED_CONNECTS = 3

        /** In multiples of the route's latency objective; a late response is worth less, but more than none. */
        const val MAX_WAIT_FACTOR = 1.5
        val MAX_WAIT = 800.milliseconds

        /** Callers abandon a stream that pauses for two seconds. */
        val MAX_STREAM_PAUSE = 1_200.milliseconds

        /** The first refusal often concerns one engine only; after more, all engines lack capacity for a moment. */
        const val IMMEDIATE_REFUSALS = 2
        val REFUSAL_PAUSE = 100.milliseconds

        /** Time between two investigations of a silent response. */
        val INVESTIGATION_INTERVAL = 400.milliseconds

        /** The request is not sent again if less time than this is left. */
        val MIN_TIME_FOR_SEND = 50.milliseconds

        /** Limits change within seconds, and another entry may have room earlier. */
        val MAX_RETRY_AFTER = 3.seconds
    }
}
