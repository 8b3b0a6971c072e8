package io.mimosatrail.store.client

import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration

/** Largest random change of the open time, as a fraction of it. */
private const val JITTER = 0.5

/**
 * Circuit breaker for calls to the store. It opens after [StoreBudget.failuresToOpen] consecutive failures. After the
 * open time, one probe call may be sent. The first call that succeeds closes the breaker. Until then the open time
 * doubles with each probe, up to [StoreBudget.maxOpenFor].
 *
 * The next probe does not wait for the answer to the last one, which may never come.
 */
internal class StoreBreaker(private val budget: StoreBudget, private val random: Random) {
    private var failures = 0
    private var openFor = budget.openFor

    /** Time from which the next probe may be sent; null while the breaker is closed. */
    private var nextProbeAt: Moment? = null

    /** True if the caller may send a call at [now]. It must then report the result to [onResult]. */
    @Synchronized
    fun tryAcquire(now: Moment): Boolean {
        val probeAt = nextProbeAt ?: return true
        if (now < probeAt) return false
        openFor = minOf(openFor * 2, budget.maxOpenFor)
        nextProbeAt = now + withJitter(openFor)
        return true
    }

    /** Reports the result of a call for which [tryAcquire] returned true. */
    @Synchronized
    fun onResult(now: Moment, failed: Boolean) {
        if (!failed) return close()
        failures++
        if (nextProbeAt == null && failures >= budget.failuresToOpen) nextProbeAt = now + withJitter(openFor)
    }

    private fun close() {
        failures = 0
        openFor = budget.openFor
        nextProbeAt = null
    }

    private fun withJitter(duration: Duration): Duration = duration * (1 - JITTER + 2 * JITTER * random.nextDouble())
}
