package io.mimosatrail.core.balance

import io.mimosatrail.core.routing.UpstreamHealth
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What this process has under way at one upstream, and how its last requests went. */
class TrafficRow {
    private var health = UpstreamHealth()
    private val failures = FailureRun()
    private var avoidedUntil: Moment? = null
    private var toldDownUntil: Moment? = null
    private var foundDownAt: Moment? = null
    private var learnedShare = 1.0
    private var learnedAt: Moment? = null
    private var others = 0
    private var othersAt: Moment? = null

    /** Requests that were sent and not yet answered. */
    var outstanding = 0
        private set

    /** Streams that pass through, as first stage or later. */
    var sequences = 0
        private set

    /** KV cache that these streams will fill, in tokens times layers. */
    var tokenLayers = 0L
        private set

    /** Share of the last answers that failed, recent ones counting more. */
    var failureShare = 0.0
        private set

    /** Refusals in a row. */
    var refusals = 0
        private set

    /** Factor by which its passes take longer than usual. */
    var slowness = 1.0

    /** Requests of others that it had when it last told its load, 0 where that is long ago. */
    fun othersOutstanding(now: Moment): Int = if (othersAt?.let { now - it <= TOLD_LOAD_SPAN } ?: false) others else 0

    /** True while work should go elsewhere if it can. */
    fun isAvoided(now: Moment): Boolean =
        isSilent(now) || failures.isPaused(now) || avoidedUntil?.let { now < it } ?: false

    /** True while it is taken to be down or cut off. */
    fun isSilent(now: Moment): Boolean = health.isEjected(now) || toldDownUntil?.let { now < it } ?: false

    /** True shortly after this process itself found it to be down. */
    internal fun wasFoundDown(now: Moment): Boolean = foundDownAt?.let { now - it < FOUND_DOWN_SPAN } ?: false

    /** Share of its room that it is taken to have, after it refused for want of room not long ago. */
    fun roomShare(now: Moment): Double {
        val since = learnedAt?.let { now - it } ?: return 1.0
        return (learnedShare + (1 - learnedShare) * (since / ROOM_MEMORY)).coerceAtMost(1.0)
    }

    /** Notes that it had no more room while [usedShare] of its room was taken to be in use. */
    internal fun onFull(usedShare: Double, now: Moment) {
        learnedShare = (usedShare * FULL_MARGIN).coerceIn(LEAST_ROOM_SHARE, 1.0)
        learnedAt = now
    }

    /** Notes that it had [requests] running and waiting with the answer that just came. */
    internal fun onToldLoad(requests: Int, now: Moment) {
        others = (requests - outstanding).coerceAtLeast(0)
        othersAt = now
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

    internal fun onSilence(now: Moment) {
        health.onFailure(now)
        foundDownAt = now
    }

    internal fun onToldDown(now: Moment) {
        toldDownUntil = now + TOLD_DOWN_PAUSE
    }

    internal fun onRefusal(now: Moment) {
        if (avoidedUntil?.let { now < it } != true) refusals++
        avoidedUntil = now + REFUSAL_PAUSE * (1 shl (refusals - 1).coerceIn(0, MOST_DOUBLINGS))
    }

    /** Notes that it took its part of a request. */
    internal fun onWorked() {
        refusals = 0
    }

    internal fun onRestart() {
        health = UpstreamHealth()
        avoidedUntil = null
        toldDownUntil = null
        foundDownAt = null
        failures.clear()
        refusals = 0
        learnedAt = null
        othersAt = null
        failureShare = 0.0
        slowness = 1.0
    }

    private companion object {
        /** What this process found is told to others for as long as a few messages take. */
        val FOUND_DOWN_SPAN: Duration = 700.milliseconds

        /** Hearsay counts for less long than what this process saw itself. */
        val TOLD_DOWN_PAUSE: Duration = 800.milliseconds

        /** Plain requests take about a tenth of this; an older load says little. */
        val TOLD_LOAD_SPAN: Duration = 500.milliseconds

        /** Weight of the newest answer in the failure share: about the last ten count. */
        const val FAILURE_GAIN = 0.1

        /** An engine that gives up layers or is short of memory is asked again after about one answer's time. */
        val REFUSAL_PAUSE: Duration = 400.milliseconds

        /** The pause doubles up to 0.8 s with refusals in a row. */
        const val MOST_DOUBLINGS = 1

        /** Streams last some seconds; what was learnt of a full engine fades over that time. */
        val ROOM_MEMORY: Duration = 4.seconds

        /** A full engine is left a little room, so that it is not asked at its very limit. */
        const val FULL_MARGIN = 0.95
        const val LEAST_ROOM_SHARE = 0.3
    }
}
