package io.mimosatrail.core.spread

import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration

/** Share of a delay by which it is shortened or lengthened. */
private const val JITTER = 0.5

/** One process's reads and watches of the store: at most one of each at a time, with backoff after a failure. */
internal class StoreFollow(private val settings: SpreadSettings, private val random: Random) {
    /** True while a read runs. */
    var reading = false
        private set
    private var readAgain = false
    private var watching = false
    private var failures = 0
    private var notBefore = Moment(Long.MIN_VALUE)

    /** Wants a read now. */
    fun read(): List<SpreadEffect> {
        if (reading) {
            readAgain = true
            return emptyList()
        }
        reading = true
        return listOf(SpreadEffect.ReadStore)
    }

    /** Wants a watch, unless one waits already or the store has just failed. */
    fun watch(now: Moment): List<SpreadEffect> {
        if (watching || now < notBefore) return emptyList()
        watching = true
        return listOf(SpreadEffect.WatchStore)
    }

    fun onRead(now: Moment, succeeded: Boolean): List<SpreadEffect> {
        reading = false
        note(now, succeeded)
        val again = readAgain && succeeded
        readAgain = readAgain && !succeeded
        return if (again) read() else emptyList()
    }

    fun onWatchEnded(now: Moment, end: WatchEnd): List<SpreadEffect> {
        watching = false
        note(now, end != WatchEnd.FAILED)
        return if (end == WatchEnd.CHANGED) read() else emptyList()
    }

    /** Wants the read that failed again, once the delay after the failure is over. */
    fun retry(now: Moment): List<SpreadEffect> {
        if (!readAgain || reading || now < notBefore) return emptyList()
        readAgain = false
        return read()
    }

    /** Notes that a failed read has to be made again. */
    fun owe() {
        readAgain = true
    }

    private fun note(now: Moment, succeeded: Boolean) {
        failures = if (succeeded) 0 else failures + 1
        if (!succeeded) notBefore = now + jittered(minOf(settings.storeRetry * failures, settings.maxStoreRetry))
    }

    private fun jittered(delay: Duration): Duration = delay * (1 - JITTER + 2 * JITTER * random.nextDouble())
}

/** How a watch of the store ended. */
enum class WatchEnd { CHANGED, QUIET, FAILED }
