package io.mimosatrail.store.client

import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration

/** Share of the open time by which it is shortened or lengthened. */
private const val JITTER = 0.5

/**
 * Stops calls to a store that keeps failing. After the open time a single call is let through; its success closes the
 * breaker, its failure doubles the open time.
 */
internal class StoreBreaker(private val budget: StoreBudget, private val random: Random) {
    private var failures = 0
    private var openFor = budget.openFor
    private var openUntil: Moment? = null
    private var probing = false

    /** True where a call may be sent at [now]. */
    @Synchronized
    fun admits(now: Moment): Boolean {
        val until = openUntil ?: return true
        if (probing || now < until) return false
        probing = true
        return true
    }

    /** Notes the end of a call that was admitted. */
    @Synchronized
    fun onEnd(now: Moment, failed: Boolean) {
        if (!failed) return close()
        failures++
        val probed = probing && openUntil?.let { it <= now } == true
        if (probed) openFor = minOf(openFor * 2, budget.maxOpenFor)
        if (probed || failures == budget.failuresToOpen) open(now)
    }

    private fun open(now: Moment) {
        openUntil = now + jittered(openFor)
        probing = false
    }

    private fun close() {
        failures = 0
        openFor = budget.openFor
        openUntil = null
        probing = false
    }

    private fun jittered(duration: Duration): Duration = duration * (1 - JITTER + 2 * JITTER * random.nextDouble())
}
