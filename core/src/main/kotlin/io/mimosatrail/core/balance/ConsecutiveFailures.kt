package io.mimosatrail.core.balance

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Consecutive failed requests at one upstream. Several in a row pause the upstream, even if its status checks and the
 * registry show it as healthy. Requests that were in flight together count as one failure, since a single reset of
 * connections fails all of them and doesn't predict another one.
 */
internal class ConsecutiveFailures {
    /** Failures since the last usable answer, where those of concurrent requests count as one. */
    private var failures = 0
    private var lastFailureAt: Moment? = null
    private var pausedUntil: Moment? = null

    /** True while requests should go to other upstreams. */
    fun isPaused(now: Moment): Boolean = pausedUntil?.let { now < it } ?: false

    /** Records that a request sent at [sentAt] got no usable answer. */
    fun onFailure(sentAt: Moment, now: Moment) {
        if (lastFailureAt?.let { sentAt <= it } ?: false) return
        lastFailureAt = now
        failures++
        if (failures < FAILURES_BEFORE_PAUSE) return
        pausedUntil = now + FIRST_PAUSE * (1 shl (failures - FAILURES_BEFORE_PAUSE).coerceAtMost(MAX_DOUBLINGS))
    }

    /** Records a usable answer. */
    fun onSuccess() {
        failures = 0
        pausedUntil = null
    }

    /** Forgets all failures, after a restart of the upstream. */
    fun clear() {
        onSuccess()
        lastFailureAt = null
    }

    private companion object {
        /** A healthy upstream that loses one answer in ten fails three times in a row with a probability of 0.001. */
        const val FAILURES_BEFORE_PAUSE = 3

        /** After the pause, one more failure is enough to pause again for twice as long, up to 4 s. */
        val FIRST_PAUSE: Duration = 500.milliseconds
        const val MAX_DOUBLINGS = 3
    }
}
