package io.mimosatrail.store.client

import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration

/** Largest random change of the open time, as a fraction of it. */
private const val JITTER = 0.5

/**
 * Circuit breaker for calls to the store. It opens after [StoreBudget.failuresToOpen] consecutive failures. After the
 * open time, one probe call may be sent: if it succeeds, the breaker closes; if it fails, the breaker opens again for
 * twice the time, up to [StoreBudget.maxOpenFor].
 */
internal class StoreBreaker(private val budget: StoreBudget, private val random: Random) {
    private var failures = 0
    private var openFor = budget.openFor
    private var openUntil: Moment? = null
    private var probing = false

    /** True if the caller may send a call at [now]. It must then report the result to [onResult]. */
    @Synchronized
    fun tryAcquire(now: Moment): Boolean {
        val until = openUntil ?: return true
        if (probing || now < until) return false
        probing = true
        return true
    }

    /** Reports the result of a call for which [tryAcquire] returned true. */
    @Synchronized
    fun onResult(now: Moment, failed: Boolean) {
        if (!failed) return close()
        failures++
        val probeFailed = probing && openUntil?.let { it <= now } == true
        if (probeFailed) openFor = minOf(openFor * 2, budget.maxOpenFor)
        if (probeFailed || failures == budget.failuresToOpen) open(now)
    }

    private fun open(now: Moment) {
        openUntil = now + withJitter(openFor)
        probing = false
    }

    private fun close() {
        failures = 0
        openFor = budget.openFor
        openUntil = null
        probing = false
    }

    private fun withJitter(duration: Duration): Duration = duration * (1 - JITTER + 2 * JITTER * random.nextDouble())
}
