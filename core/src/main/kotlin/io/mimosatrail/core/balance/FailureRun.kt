package io.mimosatrail.core.balance

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Failures in a row at one upstream, whatever its status checks and the registry say of it. Requests that fail together
 * count as one, since one reset of connections is no sign of the next.
 */
internal class FailureRun {
    private var rounds = 0
    private var lastAt: Moment? = null
    private var pausedUntil: Moment? = null

    /** True while work should go elsewhere. */
    fun isPaused(now: Moment): Boolean = pausedUntil?.let { now < it } ?: false

    /** Notes that a request that was sent at [sentAt] got no usable answer. */
    fun onFailure(sentAt: Moment, now: Moment) {
        if (lastAt?.let { sentAt <= it } ?: false) return
        lastAt = now
        rounds++
        if (rounds < ROUNDS_TO_PAUSE) return
        pausedUntil = now + FIRST_PAUSE * (1 shl (rounds - ROUNDS_TO_PAUSE).coerceAtMost(MOST_DOUBLINGS))
    }

    /** Notes a usable answer. */
    fun onSuccess() {
        rounds = 0
        pausedUntil = null
    }

    /** Forgets an earlier life of the upstream. */
    fun clear() {
        onSuccess()
        lastAt = null
    }

    private companion object {
        /** A sound upstream that loses one answer in ten fails three times in a row once in a thousand. */
        const val ROUNDS_TO_PAUSE = 3

        /** One request tells after the pause whether it works again; the pause doubles up to four seconds. */
        val FIRST_PAUSE: Duration = 500.milliseconds
        const val MOST_DOUBLINGS = 3
    }
}
