package io.mimosatrail.gateway.forward

import io.mimosatrail.core.front.RouteKind
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.retry.RetryPriority
import io.mimosatrail.core.send.SendEnd
import io.mimosatrail.core.send.SendHistory
import io.mimosatrail.core.stall.StreamActivity
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.net.Lease
import io.mimosatrail.gateway.net.UpstreamConnection
import io.mimosatrail.gateway.wire.OrderOutcome
import io.netty.handler.codec.http.HttpResponseStatus
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Forwards one request to upstreams, retries it where that is allowed, and returns the final response to the caller.
 * Confined to the event loop.
 *
 * If an upstream falls silent, a repeatable request is also sent to another one. Both attempts stay open until one of
 * them passes bytes to the caller, which ends the other.
 */
internal class ForwardedRequest(
    private val call: RoutedCall,
    private val targets: TargetChooser,
    private val context: ForwardContext,
) : AttemptListener {
    private val history = SendHistory(call.route)
    private val response = CallerResponse(call, context)
    private val refusals = RequestRefusals(call, history)
    private val gate = ContentGate(call, history, context, ::isSentElsewhere)
    private val answerKind = call.service.id to call.route.kind
    private val longestWait = minOf(call.route.target * MAX_WAIT_FACTOR, MAX_WAIT)
    private val place = QueuePlace(call, longestWait, this, context)

    /** Open attempts, at most [MAX_OPEN_ATTEMPTS]; all but the last are silent. */
    private val attempts = mutableListOf<Attempt>()
    private var failedConnects = 0
    private var isFinished = false

    /** Time since which no target has been available, or null if the last choice found one. */
    private var noTargetSince: Moment? = null

    /** The next attempt starts no earlier than this; null if it may start at once. */
    private var retryAt: Moment? = null
    private val unreachable = HashSet<InstanceId>()

    private val usedConnections = HashSet<UpstreamConnection>()

    /** How a begun stream ends if no retry is left in time by the budget, which is used up; null if it doesn't wait. */
    private var pendingFailure: PendingFailure? = null

    /** Target of the next attempt if it was chosen, and its retry acquired, before the current attempt ended. */
    private var preparedTarget: Target? = null

    /** Starts the first attempt. */
    fun start() {
        context.inFlight += this
        call.caller.onDisconnected = ::onDisconnected
        call.caller.onWritable = { attempts.forEach { it.setReading(true) } }
        context.retries.onFirstAttempt(call.service.id, context.clock())
        sendNext()
    }

    /** Enforces the deadline, starts a delayed attempt, and checks open attempts for silence. */
    fun onTick(now: Moment) {
        if (isFinished) return
        if (now >= call.deadline) return onDeadline()
        if (attempts.isNotEmpty()) return attempts.toList().forEach { it.onTick(now) }
        pendingFailure?.let { return onBudgetWait(it, now) }
        if (retryAt?.let { now >= it } ?: true) sendNext()
    }

    /** Activity of the open attempts of a stream whose response has begun. */
    fun streamActivities(now: Moment): List<StreamActivity> =
        if (response.hasBegun) attempts.mapNotNull { it.streamActivity(now) } else emptyList()

    /** Redirects the stream around [engine], which is presumed to be down, if it passes the engine and has stopped. */
    fun onEngineDown(engine: InstanceId) {
        val now = context.clock()
        attempts.toList().forEach { it.onEngineDown(engine, now) }
    }

    private fun sendNext() {
        gate.obstacle()?.let { return finish(refusals.quarantined(it)) }
        if (gate.isWaitingForVerdict()) {
            retryAt = context.clock() + VERDICT_POLL
            return
        }
        if (!response.hasBegun && endsTooLate()) return finish(refusals.stopping())
        val target = preparedTarget ?: place.choose(::choose) ?: return onNoTarget()
        preparedTarget = null
        noTargetSince = null
        retryAt = null
        begin(target)
    }

    /**
     * True if this entry stops before an answer to a request that is sent now would be complete. A request that the
     * caller can't repeat after a cut needs more certainty than others.
     */
    private fun endsTooLate(): Boolean {
        val remaining = context.stopsAt?.let { it - context.clock() } ?: return false
        val mayRepeat = call.route.kind == RouteKind.IDEMPOTENT || call.route.isResumable
        val times = context.answerTimes
        val needed = if (mayRepeat) times.usual(answerKind) else times.upperBound(answerKind)
        return remaining < (needed ?: call.route.target)
    }

    /** Responds while this entry still can. A response that has begun can only be cut. */
    fun onStop() {
        if (isFinished || response.hasBegun) return
        abortAll()
        finish(refusals.stopping())
    }

    private fun begin(target: Target) {
        val next = Attempt(call, target, targets, context, response, this)
        attempts += next
        next.begin()
    }

    /** Chooses a target. The request counts as sent to it, so it has to be sent or passed to [discard]. */
    private fun choose(): Target? {
        val excluded = excluded()
        val shared = upstreamsOfOtherSuspects()
        val alone = if (shared.isEmpty()) null else targets.choose(excluded + shared)
        return (alone ?: targets.choose(excluded))?.also { context.access.onSend(it.upstream.id) }
    }

    /**
     * Upstreams of a plain service that run other requests that met with a crash: the cause must not take the others
     * with it once more. Engines are many, and requests spread over them anyway.
     */
    private fun upstreamsOfOtherSuspects(): Set<InstanceId> {
        if (call.service.engine != null || !gate.hasMetWithCrash) return emptySet()
        return context.inFlight.upstreams { it !== this && it.gate.hasMetWithCrash }
    }

    /** True if another request with the same content may run, or if it is being found out how its run ended. */
    private fun isSentElsewhere(): Boolean = context.crashWatch.isInvestigating(call.content) ||
        context.inFlight.count { it !== this && it.isBeforeAnswer && it.hasContentOf(this) } > 0

    /** True while an upstream has the request, or is about to get it, and has not been answering it for some time. */
    private val isBeforeAnswer: Boolean get() = attempts.any { !it.isUnderWay }

    private fun hasContentOf(other: ForwardedRequest): Boolean =
        call.content.knownFingerprint?.let { it == other.call.content.knownFingerprint } ?: false

    /** Upstreams to which the request has been sent without an end so far. */
    val openUpstreams: List<InstanceId> get() = attempts.map { it.target.upstream.id }

    private fun discard(target: Target) = context.access.onNotSent(target.upstream.id)

    /**
     * True if an answer that arrives over [connection] and has the id of this request can only be the answer to the
     * next send. A connection that has carried an earlier send may bring the refusal of that send once more.
     */
    override fun isSuitable(connection: UpstreamConnection): Boolean =
        if (call.fields.request == null) connection.isUnused else connection !in usedConnections

    private fun excluded(): Set<InstanceId> = history.excludedUpstreams + unreachable + openUpstreams

    /** Waits for free capacity while the response can still begin or continue in time, then refuses the request. */
    private fun onNoTarget() {
        val now = context.clock()
        val since = noTargetSince
        val limit = if (response.hasBegun) MAX_STREAM_PAUSE else longestWait
        when {
            since == null -> {
                noTargetSince = now
                if (!response.hasBegun) refuseIfHopeless(limit)
                if (!isFinished) place.join()
            }
            now - since >= limit -> finish(refusals.noTarget())
        }
    }

    /** Refuses the request at once if no upstream accepts it within [limit], by what the upstreams announced. */
    private fun refuseIfHopeless(limit: Duration) {
        if (context.registry.isLeaving(call.service.id)) return finish(refusals.noTarget())
        val ahead = place.ahead ?: waitingBefore()
        val wait = context.access.timeUntilSend(targets.possibleUpstreams(excluded()), ahead)
        if (wait < limit) return
        finish(if (wait.isFinite()) refusals.noTarget(spread(wait)) else refusals.noTarget())
    }

    /** Refuses the request, which waits for a target, to the benefit of others that wait. */
    fun refuseWaiting() = finish(refusals.noTarget())

    /** Callers that are refused for the same reason must not all return at the same moment. */
    private fun spread(wait: Duration): Duration = wait + wait * (MAX_SPREAD * Random.nextDouble())

    /** Number of other requests for the same service that wait for a target. */
    private fun waitingBefore(): Int =
        context.inFlight.count { it !== this && it.noTargetSince != null && it.call.service.id == call.service.id }

    /** True if the request has been sent to an upstream of [service], and waits for another target. */
    fun isRetryWaiting(service: ServiceId): Boolean =
        noTargetSince != null && history.sends > 0 && call.service.id == service

    override fun onNotConnected(attempt: Attempt, lease: Lease.Failed) {
        attempts -= attempt
        val upstream = attempt.target.upstream.id
        if (lease.isUnreachable) context.traffic.onDetectedDown(upstream, context.clock())
        unreachable += upstream
        failedConnects++
        log("not-connected", attempt, "detail" to lease.detail)
        if (attempts.isNotEmpty()) return
        if (failedConnects <= MAX_FAILED_CONNECTS) sendNext() else finish(refusals.busy(lease.detail))
    }

    override fun maySend(attempt: Attempt): Boolean =
        history.maySendAgain() && context.access.isUsable(attempt.target) && gate.obstacle() == null

    override fun mayRedirect(): Boolean = gate.obstacle() == null

    override fun onSending(attempt: Attempt, connection: UpstreamConnection) {
        history.onSend(attempt.target.upstream.id)
        usedConnections += connection
        if (history.sends == 1) context.quarantine.onSent(call.content, context.clock())
        val prompt = call.fields.promptParts.joinToString("/")
        val event = if (history.sends == 1) "sent" else "sent-again"
        log(event, attempt, "prompt" to prompt, "content" to call.content.knownFingerprint)
    }

    /** Also sends a repeatable request to another upstream, if it is allowed to run there as well. */
    override fun onSilent(attempt: Attempt, detail: String) {
        if (attempts.size >= MAX_OPEN_ATTEMPTS || !history.mayRetryAfterRun()) return
        if (response.hasBegun && !response.mayBeContinued) return
        val next = chooseAndAcquire() ?: return
        log("send-silent", attempt, "detail" to detail, "silence" to attempt.silence(context.clock()))
        begin(next)
    }

    override fun onRedirected(attempt: Attempt, next: Target, outcome: OrderOutcome) =
        log("redirected", attempt, "to" to next, "outcome" to outcome)

    /** Ends the other attempts, whose upstreams would send the same bytes once more. */
    override fun onProgress(attempt: Attempt) {
        if (attempts.size == 1) return
        for (other in attempts.filter { it !== attempt }) {
            attempts -= other
            other.abort()
            if (other.isSent) history.onEnd(other.target.upstream.id, SendEnd.SILENT)
            context.meters.onSendEnd(SendEnd.SILENT.name)
            log("send-replaced", other, "by" to attempt.target, "silence" to other.silence(context.clock()))
        }
    }

    override fun onFailed(attempt: Attempt, end: SendEnd, detail: String) {
        attempts -= attempt
        history.onEnd(attempt.target.upstream.id, end)
        if (end == SendEnd.BROKEN) gate.onBroken()
        context.meters.onSendEnd(end.name)
        log("send-failed", attempt, "end" to end, "detail" to detail, "silence" to attempt.silence(context.clock()))
        if (attempts.isNotEmpty()) return
        val obstacle = retryObstacle() ?: return sendAgain()
        val retries = context.retries.usage(call.service.id, context.clock())
        log("not-sent-again", attempt, "reason" to obstacle, "retries" to retries.used, "allowed" to retries.allowed)
        val refusal = refusals.failed(attempt.target.upstream.id, end, detail)
        if (obstacle == RetryObstacle.BUDGET && response.hasBegun) {
            pendingFailure = PendingFailure(refusal, context.clock())
        } else {
            finish(refusal)
        }
    }

    /** Sends the stream again as soon as the budget allows it, or ends it if the caller would not wait any longer. */
    private fun onBudgetWait(failure: PendingFailure, now: Moment) {
        if (acquireRetry()) {
            pendingFailure = null
            sendAgain()
        } else if (now - failure.since >= MAX_STREAM_PAUSE) {
            finish(failure.refusal)
        }
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
            response.hasBegun && !response.mayBeContinued -> RetryObstacle.NOT_RESUMABLE
            gate.obstacle() != null -> RetryObstacle.SUSPECTED_CONTENT
            preparedTarget == null && !acquireRetry() -> RetryObstacle.BUDGET
            else -> null
        }
    }

    private fun acquireRetry(): Boolean {
        val isLastResort = response.hasBegun && attempts.isEmpty()
        val priority = if (isLastResort) RetryPriority.LAST_RESORT else RetryPriority.NORMAL
        return context.retries.tryAcquire(call.service.id, context.clock(), priority)
    }

    /** A target for a retry that is acquired from the budget, or null if there is none or no retry is allowed. */
    private fun chooseAndAcquire(): Target? {
        if (gate.obstacle() != null || gate.isOnTrial) return null
        val next = choose() ?: return null
        if (acquireRetry()) return next
        discard(next)
        return null
    }

    /** An error is no answer while another attempt may still give one, or if a lookup can be retried. */
    override fun mayReplaceFailure(attempt: Attempt): Boolean {
        if (attempts.size > 1) return true
        if (call.route.kind != RouteKind.IDEMPOTENT || !history.mayRetryAfterRun()) return false
        preparedTarget = chooseAndAcquire()
        return preparedTarget != null
    }

    private fun onDeadline() {
        val last = attempts.lastOrNull()
        abortAll()
        finish(refusals.deadline(last?.target?.upstream?.id))
    }

    /** Ends the request, whose state can't be relied on: handling it failed for a reason that was not foreseen. */
    fun onFault() {
        if (isFinished) return
        attempts.forEach { it.abort() }
        attempts.clear()
        finish(faultRefusal())
    }

    private fun onDisconnected() {
        val last = attempts.lastOrNull()
        abortAll()
        val after = context.clock() - call.caller.receivedAt
        log("caller-gone", last, "after" to after, *response.timing.logFields())
        end()
    }

    private fun abortAll() {
        attempts.forEach {
            it.onAbandoned()
            it.abort()
            if (it.isSent) history.onEnd(it.target.upstream.id, SendEnd.SILENT)
        }
        attempts.clear()
    }

    override fun onComplete(attempt: Attempt) {
        attempts -= attempt
        history.onAnswered(attempt.target.upstream.id)
        val took = context.clock() - call.caller.receivedAt
        val isSuccess = response.status == HttpResponseStatus.OK.code()
        context.quarantine.onAnswered(call.content, answerResult(response.status), attempt.onPathSince, context.clock())
        if (isSuccess) context.answerTimes.onAnswer(answerKind, took)
        context.meters.onSendEnd("ANSWERED")
        log("answered", attempt, "status" to response.status, "took" to took, *response.timing.logFields())
        end()
    }

    private fun finish(refusal: Refusal) {
        place.onRefused()
        if (response.hasBegun) response.cut(refusal) else response.refuse(refusal)
        end()
    }

    private fun end() {
        isFinished = true
        place.leave()
        preparedTarget?.let(::discard)
        preparedTarget = null
        context.inFlight -= this
    }

    private fun log(event: String, at: Attempt?, vararg more: Pair<String, Any?>) = logEvent(
        "forward",
        event,
        "request" to call.fields.request,
        "target" to at?.target,
        "sends" to history.sends,
        "upstream-limit" to at?.let { context.access[it.target.upstream.id] },
        "configuration" to call.configurationVersion,
        "registry-age" to context.registry.age(context.clock()),
        *more,
    )

    private class PendingFailure(val refusal: Refusal, val since: Moment)

    private companion object {
        /** A silent one and its replacement. */
        const val MAX_OPEN_ATTEMPTS = 2

        val VERDICT_POLL = 40.milliseconds

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

        /** The request is not sent again if less time than this is left. */
        val MIN_TIME_FOR_SEND = 50.milliseconds

        /** Fraction of a wait by which callers come back later at most. */
        const val MAX_SPREAD = 0.25
    }
}
