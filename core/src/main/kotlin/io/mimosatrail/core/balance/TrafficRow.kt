package io.mimosatrail.core.balance

import io.mimosatrail.core.routing.UpstreamHealth
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One upstream as this process sees it: requests in flight, recent results, and reports of its load and failures. */
class TrafficRow {
    private var health = UpstreamHealth()
    private val failures = ConsecutiveFailures()
    private var avoidedUntil: Moment? = null
    private var reportedDownUntil: Moment? = null
    private var detectedDownAt: Moment? = null
    private var reducedCapacity = 1.0
    private var reducedAt: Moment? = null
    private var othersInLastReport = 0
    private var lastReportAt: Moment? = null

    /** Requests that were sent and are not yet answered. */
    var outstanding = 0
        private set

    /** Open streams that use the upstream as their first or a later stage. */
    var sequences = 0
        private set

    /** KV cache that these streams will fill, in tokens times layers. */
    var tokenLayers = 0L
        private set

    /** Fraction of failed answers, from 0 to 1; an exponential moving average. */
    var failureShare = 0.0
        private set

    /** Consecutive refusals; those within one pause count as one. */
    var refusals = 0
        private set

    /** Factor by which the steps of the engine take longer than normal; 1 is normal. */
    var slowness = 1.0

    /** Requests of other entries according to the upstream's last load report; 0 if that report is too old. */
    fun othersOutstanding(now: Moment): Int =
        if (lastReportAt?.let { now - it <= LOAD_REPORT_MAX_AGE } ?: false) othersInLastReport else 0

    /** True while requests should go to other upstreams if there are any. */
    fun isAvoided(now: Moment): Boolean =
        isPresumedDown(now) || failures.isPaused(now) || avoidedUntil?.let { now < it } ?: false

    /** True while the upstream is presumed to be down or unreachable. */
    fun isPresumedDown(now: Moment): Boolean = health.isEjected(now) || reportedDownUntil?.let { now < it } ?: false

    /** True shortly after this process itself detected that the upstream is down. */
    internal fun wasDetectedDown(now: Moment): Boolean = detectedDownAt?.let { now - it < DETECTED_DOWN_SPAN } ?: false

    /**
     * Fraction of the nominal KV cache that the engine is assumed to have: 1 normally, less for a while after it
     * refused a request because its cache was full.
     */
    fun kvCapacityFactor(now: Moment): Double {
        val since = reducedAt?.let { now - it } ?: return 1.0
        return (reducedCapacity + (1 - reducedCapacity) * (since / CAPACITY_RECOVERY)).coerceAtMost(1.0)
    }

    /** Records that the KV cache was full while its estimated utilization was [utilization]. */
    internal fun onFull(utilization: Double, now: Moment) {
        reducedCapacity = (utilization * FULL_MARGIN).coerceIn(MIN_CAPACITY_FACTOR, 1.0)
        reducedAt = now
    }

    /**
     * Records that an answer received at [now] reported [requests] running and waiting requests, including those of
     * this process.
     */
    internal fun onLoadReport(requests: Int, now: Moment) {
        othersInLastReport = (requests - outstanding).coerceAtLeast(0)
        lastReportAt = now
    }

    internal fun onStart() {
        outstanding++
    }

    internal fun onEnd() {
        outstanding--
    }

    internal fun reserve(added: Long) {
        sequences++
        tokenLayers += added
    }

    internal fun release(removed: Long) {
        sequences--
        tokenLayers -= removed
    }

    internal fun onAnswer(hasFailed: Boolean, now: Moment) {
        failureShare += ((if (hasFailed) 1.0 else 0.0) - failureShare) * FAILURE_GAIN
        if (hasFailed) return
        health.onSuccess(now)
        failures.onSuccess()
    }

    internal fun onSendFailed(sentAt: Moment, now: Moment) = failures.onFailure(sentAt, now)

    internal fun onDetectedDown(now: Moment) {
        health.onFailure(now)
        detectedDownAt = now
    }

    internal fun onReportedDown(now: Moment) {
        reportedDownUntil = now + REPORTED_DOWN_PAUSE
    }

    internal fun onRefusal(now: Moment) {
        if (avoidedUntil?.let { now < it } != true) refusals++
        avoidedUntil = now + REFUSAL_PAUSE * (1 shl (refusals - 1).coerceIn(0, MAX_DOUBLINGS))
    }

    /** Records that the upstream processed a request or its stage of one. */
    internal fun onProcessed() {
        refusals = 0
    }

    internal fun onRestart() {
        health = UpstreamHealth()
        avoidedUntil = null
        reportedDownUntil = null
        detectedDownAt = null
        failures.clear()
        refusals = 0
        reducedAt = null
        lastReportAt = null
        failureShare = 0.0
        slowness = 1.0
    }

    private companion object {
        /** How long this process reports an upstream as down to other entries; a few messages are sent in that time. */
        val DETECTED_DOWN_SPAN: Duration = 700.milliseconds

        /** Shorter than the ejection after a failure that this process detected itself, which is at least 1 s. */
        val REPORTED_DOWN_PAUSE: Duration = 800.milliseconds

        /** Plain requests take about a tenth of this, so an older report says little about the current load. */
        val LOAD_REPORT_MAX_AGE: Duration = 500.milliseconds

        /** Weight of the newest answer in [failureShare]; about the last ten answers matter. */
        const val FAILURE_GAIN = 0.1

        /** About the duration of one answer; then an engine that released layers or lacked memory may accept again. */
        val REFUSAL_PAUSE: Duration = 400.milliseconds

        /** The pause doubles with consecutive refusals up to 0.8 s. */
        const val MAX_DOUBLINGS = 1

        /** Streams last some seconds; the assumed capacity returns to nominal over that time. */
        val CAPACITY_RECOVERY: Duration = 4.seconds

        /** Leaves some headroom below the utilization at which the engine was full. */
        const val FULL_MARGIN = 0.95
        const val MIN_CAPACITY_FACTOR = 0.3
    }
}
