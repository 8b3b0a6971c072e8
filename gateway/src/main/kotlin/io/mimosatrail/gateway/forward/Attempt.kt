package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.send.SendEnd
import io.mimosatrail.core.stall.StreamActivity
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.net.ConnectionKey
import io.mimosatrail.gateway.net.Lease
import io.mimosatrail.gateway.net.UpstreamConnection
import io.mimosatrail.gateway.wire.OrderOutcome
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Receives what happens to an [Attempt]. */
internal interface AttemptListener {
    /** There was no connection, so nothing was sent. */
    fun onNotConnected(attempt: Attempt, lease: Lease.Failed)

    /** True if [connection] can carry the attempt. */
    fun isSuitable(connection: UpstreamConnection): Boolean

    /** False if the request must not be sent after all, for a reason that arose after the target was chosen. */
    fun maySend(attempt: Attempt): Boolean

    /** False if the content of the request must not reach other upstreams than those that have it. */
    fun mayRedirect(): Boolean

    /** The request is about to be sent over [connection]. */
    fun onSending(attempt: Attempt, connection: UpstreamConnection)

    /**
     * The upstream has been silent for longer than expected or is reported to be down. The attempt stays open, since
     * the upstream may go on.
     */
    fun onSilent(attempt: Attempt, detail: String)

    /** The stream takes another path. */
    fun onRedirected(attempt: Attempt, next: Target, outcome: OrderOutcome)

    /** The attempt is about to pass bytes of its answer to the caller. */
    fun onProgress(attempt: Attempt)

    /** The attempt ended without a usable answer. */
    fun onFailed(attempt: Attempt, end: SendEnd, detail: String)

    /** See [ExchangeCallbacks.mayReplaceFailure]. */
    fun mayReplaceFailure(attempt: Attempt): Boolean

    /** The answer has been passed to the caller in full. */
    fun onComplete(attempt: Attempt)
}

/** One attempt to send a request to an upstream and relay its response. Confined to the event loop. */
internal class Attempt(
    private val call: RoutedCall,
    target: Target,
    private val targets: TargetChooser,
    private val context: ForwardContext,
    response: CallerResponse,
    private val listener: AttemptListener,
) : ExchangeCallbacks {
    private val exchange = UpstreamExchange(call, target, context, response, this)
    private var isEnded = false

    /** The next investigation starts no earlier than this; null before the first. */
    private var investigateAt: Moment? = null
    private var isRedirecting = false

    /** Changes when the stream is redirected to another path. */
    var target = target
        private set

    /** True once bytes of the request may have been sent. */
    val isSent: Boolean get() = exchange.isSent

    /** True if the answer is a stream that has been going on for some time. */
    val isUnderWay: Boolean get() = exchange.isWellUnderWay

    /** When the request was sent or last redirected. */
    val onPathSince: Moment get() = exchange.onPathSince

    /** True while the request has been sent over the path of [target] and takes no other one. */
    private val isOnPath: Boolean get() = isSent && !isRedirecting

    /** Opens or reuses a connection and sends the request. */
    fun begin() {
        context.traffic.onStart(target.upstream.id)
        context.traffic.reserve(target.path, target.tokens)
        val key = ConnectionKey(target.upstream.address, target.upstream.id)
        val maxConnections = (call.service.maxConnections / context.share().entries).coerceAtLeast(1)
        context.pool.lease(key, maxConnections, listener::isSuitable, ::onLease)
    }

    /** Time since the upstream last sent anything. */
    fun silence(now: Moment): Duration = exchange.silence(now)

    /**
     * Activity of the stream, or null if it has no path, is not being read, or has sent no event since it was sent or
     * redirected.
     */
    fun streamActivity(now: Moment): StreamActivity? {
        val isMeasured = exchange.isProducing && !exchange.isPaused && !isRedirecting && target.path.isNotEmpty()
        return if (isMeasured) exchange.streamActivity(now) else null
    }

    /** Pauses or resumes reading the answer. */
    fun setReading(isReading: Boolean) = exchange.setReading(isReading)

    /** Ends the attempt without calling the listener. */
    fun abort() {
        if (isEnded) return
        exchange.abort()
        release()
    }

    /** The caller doesn't wait any longer. An upstream that has been silent since may have been lost. */
    fun onAbandoned() {
        val isSilent = isOnPath && exchange.silence(context.clock()) > MIN_SILENCE_WHEN_ABANDONED
        if (isSilent) context.crashWatch.onSilent(target.upstream, exchange.silentRun())
    }

    /** Finds out why the attempt is silent if it has been for too long. */
    fun onTick(now: Moment) {
        if (!isOnPath || investigateAt?.let { now < it } ?: false) return
        val downEngine = if (isIdle(now)) target.upstreamIds.firstOrNull { isPresumedDown(it, now) } else null
        when {
            downEngine != null && target.path.isNotEmpty() -> {
                investigateAt = now + INVESTIGATION_INTERVAL
                onEngineDown(downEngine, now)
            }
            exchange.isSilent(now) -> investigate(now)
        }
    }

    /**
     * Redirects the stream if its path contains [engine] and it has stopped: a stream that goes on shows that the
     * engine is up. If [engine] is the first of the path, or there is no other path, the request has to be sent again.
     */
    fun onEngineDown(engine: InstanceId, now: Moment) {
        if (!isOnPath || engine !in target.upstreamIds || !isIdle(now)) return
        target.engine(engine)?.let { context.crashWatch.onSilent(it, exchange.silentRun()) }
        if (engine == target.upstream.id) return listener.onSilent(this, "engine $engine is down")
        val request = call.fields.request
        val next = if (request == null || !listener.mayRedirect()) null else targets.redirect(target)
        val isReachable = context.access.mayCall(target.upstream.id)
        if (request == null || next == null || !isReachable) {
            return listener.onSilent(this, "no way around engine $engine")
        }
        isRedirecting = true
        context.scope.launch { redirect(request, next) }
    }

    override fun onProgress() = listener.onProgress(this)

    override fun onFailed(end: SendEnd, detail: String) {
        if (end == SendEnd.BROKEN) context.crashWatch.onBroken(target.upstream, exchange.brokenRun())
        release()
        listener.onFailed(this, end, detail)
    }

    override fun mayReplaceFailure(): Boolean = listener.mayReplaceFailure(this)

    override fun onComplete() {
        release()
        listener.onComplete(this)
    }

    private fun isIdle(now: Moment): Boolean = exchange.silence(now) > MAX_EVENT_INTERVAL

    private fun isPresumedDown(engine: InstanceId, now: Moment): Boolean = context.traffic[engine].isPresumedDown(now)

    /** Removes this attempt from the upstream's load. */
    private fun release() {
        if (isEnded) return
        isEnded = true
        if (!isSent) context.access.onNotSent(target.upstream.id)
        context.traffic.onEnd(target.upstream.id)
        context.traffic.release(target.path, target.tokens)
    }

    /** Finds out which engines the silent response waits for. */
    private fun investigate(now: Moment) {
        investigateAt = now + INVESTIGATION_INTERVAL
        if (target.path.isEmpty()) return onPlainUpstreamSilent(now)
        context.stallSearch.run(target.upstream) {
            val later = context.clock()
            if (!isEnded && !isRedirecting && exchange.isSilentTooLong(later)) {
                listener.onSilent(this, "no event for ${exchange.silence(later)}")
            }
        }
    }

    private fun onPlainUpstreamSilent(now: Moment) {
        context.traffic.onDetectedDown(target.upstream.id, now)
        context.crashWatch.onSilent(target.upstream, exchange.silentRun())
        listener.onSilent(this, "no answer for ${exchange.silence(now)}")
    }

    private suspend fun redirect(request: RequestId, next: Target) {
        val outcome = context.engines.redirectStream(next.upstream, request, next.path)
        listener.onRedirected(this, next, outcome)
        isRedirecting = false
        if (isEnded) return
        if (outcome != OrderOutcome.Accepted) return listener.onSilent(this, "the stream could not be redirected")
        context.traffic.release(target.path, target.tokens)
        target = next
        context.traffic.reserve(target.path, target.tokens)
        exchange.onRedirected()
    }

    private fun onLease(lease: Lease) {
        when (lease) {
            is Lease.Failed -> if (!isEnded) onNotConnected(lease)
            is Lease.Ready -> onConnected(lease)
        }
    }

    private fun onConnected(lease: Lease.Ready) {
        if (!isEnded && listener.maySend(this)) return send(lease)
        context.pool.release(lease.connection)
        if (!isEnded) onNotConnected(Lease.Failed("the request may not be sent there any more", isUnreachable = false))
    }

    private fun onNotConnected(lease: Lease.Failed) {
        release()
        listener.onNotConnected(this, lease)
    }

    private fun send(lease: Lease.Ready) {
        listener.onSending(this, lease.connection)
        exchange.send(lease.connection)
    }

    private companion object {
        /** Time between two investigations of a silent response. */
        val INVESTIGATION_INTERVAL = 400.milliseconds

        /** The events of a stream follow each other more closely than this unless it has stopped. */
        val MAX_EVENT_INTERVAL = 80.milliseconds

        /** The upstream is only probed after a longer silence. */
        val MIN_SILENCE_WHEN_ABANDONED = 250.milliseconds
    }
}
