package io.mimosatrail.core.spread

import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration

/** Largest change of a retry delay, as a share of it. */
private const val JITTER = 0.5

/**
 * Schedules one process's reads and watches of the store: at most one of each runs at a time. After a failure, watches
 * and retries wait for a delay that grows with the number of failures in a row.
 */
internal class StoreReadScheduler(private val settings: SpreadSettings, private val random: Random) {
    /** True while a read runs. */
    var reading = false
        private set
    private var readAgain = false
    private var watching = false
    private var failures = 0
    private var notBefore = Moment(Long.MIN_VALUE)

    /** Starts a read now, or another one after the read that runs. */
    fun read(): List<SpreadEffect> {
        if (reading) {
            readAgain = true
            return emptyList()
        }
        reading = true
        return listOf(SpreadEffect.ReadStore)
    }

    /** Starts a watch unless one runs already or the delay after a failure is not over. */
    fun watch(now: Moment): List<SpreadEffect> {
        if (watching || now < notBefore) return emptyList()
        watching = true
        return listOf(SpreadEffect.WatchStore)
    }

    fun onRead(now: Moment, succeeded: Boolean): List<SpreadEffect> {
        reading = false
        recordResult(now, succeeded)
        val again = readAgain && succeeded
        readAgain = readAgain && !succeeded
        return if (again) read() else emptyList()
    }

    fun onWatchEnded(now: Moment, end: WatchEnd): List<SpreadEffect> {
        watching = false
        recordResult(now, end != WatchEnd.FAILED)
        return if (end == WatchEnd.CHANGED) read() else emptyList()
    }

    /** Repeats a failed read once the delay after the failure is over. */
    fun retry(now: Moment): List<SpreadEffect> {
        if (!readAgain || reading || now < notBefore) return emptyList()
        readAgain = false
        return read()
    }

    /** Makes a later [retry] repeat the read that failed. */
    fun scheduleRetry() {
        readAgain = true
    }

    private fun recordResult(now: Moment, succeeded: Boolean) {
        failures = if (succeeded) 0 else failures + 1
        if (!succeeded) notBefore = now + jittered(minOf(settings.storeRetry * failures, settings.maxStoreRetry))
    }

    private fun jittered(delay: Duration): Duration = delay * (1 - JITTER + 2 * JITTER * random.nextDouble())
}

/** How a watch of the store ended: with a change, without one, or with an error. */
enum class WatchEnd { CHANGED, UNCHANGED, FAILED }
