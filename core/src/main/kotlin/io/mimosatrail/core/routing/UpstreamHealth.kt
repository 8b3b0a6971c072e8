package io.mimosatrail.core.routing

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val FIRST_EJECTION: Duration = 1.seconds
private val MAX_EJECTION: Duration = 30.seconds

/** Time after an ejection after which earlier failures no longer count. */
private val FAILURE_MEMORY: Duration = 60.seconds

/** Ejects an upstream after a failure. The ejection doubles with every further failure until the upstream recovers. */
class UpstreamHealth {
    private var failures = 0

    /** End of the current or last ejection; null if there was none since the last recovery. */
    var ejectedUntil: Moment? = null
        private set

    /** True while no requests should be sent. */
    fun isEjected(now: Moment): Boolean = ejectedUntil?.let { now < it } ?: false

    /** Records a failure; ignored during an ejection. */
    fun onFailure(now: Moment) {
        if (isEjected(now)) return
        if (isHistoryExpired(now)) failures = 0
        ejectedUntil = now + ejectionLength(failures)
        failures++
    }

    /** Records a success; ignored until as much time has passed after the last ejection as it lasted. */
    fun onSuccess(now: Moment) {
        val ended = ejectedUntil ?: return
        if (now - ended < ejectionLength(failures - 1)) return
        failures = 0
        ejectedUntil = null
    }

    private fun isHistoryExpired(now: Moment): Boolean = ejectedUntil?.let { now - it > FAILURE_MEMORY } ?: false

    private fun ejectionLength(failures: Int): Duration {
        val doubled = FIRST_EJECTION * (1 shl failures.coerceAtMost(MAX_DOUBLINGS))
        return doubled.coerceAtMost(MAX_EJECTION)
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
