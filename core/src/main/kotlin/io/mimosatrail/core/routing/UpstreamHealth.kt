package io.mimosatrail.core.routing

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val FIRST_EJECTION: Duration = 1.seconds
private val LONGEST_EJECTION: Duration = 30.seconds
private val MEMORY: Duration = 60.seconds

/** Ejects an upstream after a failure, each time for twice as long until it works again. */
class UpstreamHealth {
    private var failures = 0

    /** End of the ejection, or null where there is none. */
    var ejectedUntil: Moment? = null
        private set

    /** True while no work should be sent. */
    fun isEjected(now: Moment): Boolean = ejectedUntil?.let { now < it } ?: false

    /** Notes a failure; one during an ejection changes nothing. */
    fun onFailure(now: Moment) {
        if (isEjected(now)) return
        if (worksAgain(now)) failures = 0
        ejectedUntil = now + ejection(failures)
        failures++
    }

    /** Notes a sign of work; one that comes sooner after an ejection than it lasted proves nothing. */
    fun onSuccess(now: Moment) {
        val ended = ejectedUntil ?: return
        if (now - ended < ejection(failures - 1)) return
        failures = 0
        ejectedUntil = null
    }

    private fun worksAgain(now: Moment): Boolean = ejectedUntil?.let { now - it > MEMORY } ?: false

    private fun ejection(failures: Int): Duration {
        val doubled = FIRST_EJECTION * (1 shl failures.coerceAtMost(MAX_DOUBLINGS))
        return doubled.coerceAtMost(LONGEST_EJECTION)
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
