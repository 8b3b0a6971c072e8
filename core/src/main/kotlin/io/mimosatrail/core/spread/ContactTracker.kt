package io.mimosatrail.core.spread

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/**
 * Tracks contact with the store and with peers, and the answers received since this process started or resumed after a
 * pause. Readiness and the cut-off state follow from it.
 */
internal class ContactTracker(private val settings: SpreadSettings) {
    private var lastTick: Moment? = null
    private var lastContact: Moment? = null
    private var endedFetches = 0
    private var answeredFetches = 0
    private var isRunningReadOutdated = false

    /** True once the log was read to its end. */
    var storeRead = false
        private set

    /**
     * Records a tick. Returns true if the process was paused before it, which discards all earlier answers. [reading]
     * is true while a read of the store runs; a read that began before the pause does not count either.
     */
    fun onTick(now: Moment, reading: Boolean): Boolean {
        val paused = lastTick != null && isPaused(now)
        lastTick = now
        if (paused) reset(reading)
        return paused
    }

    fun onContact(now: Moment) {
        lastContact = now
    }

    fun onFetchEnded(answered: Boolean) {
        endedFetches++
        if (answered) answeredFetches++
    }

    fun onStoreRead(succeeded: Boolean) {
        if (succeeded && !isRunningReadOutdated) storeRead = true
        isRunningReadOutdated = false
    }

    /**
     * True if the log was read to its end, or if enough fetches from peers have ended, at least one with an answer.
     * Enough is [SpreadSettings.startNeighbours], or [neighbours] if this process has fewer of them.
     */
    fun hasEnoughAnswers(neighbours: Int): Boolean =
        storeRead || (answeredFetches > 0 && endedFetches >= minOf(settings.startNeighbours, neighbours))

    /** True if the last tick is longer ago than [SpreadSettings.pauseThreshold], or if there was none. */
    fun isPaused(now: Moment): Boolean = lastTick.let { it == null || now - it > settings.pauseThreshold }

    /** Time since the last contact, or null before the first. */
    fun timeSinceContact(now: Moment): Duration? = lastContact?.let { now - it }

    private fun reset(reading: Boolean) {
        storeRead = false
        endedFetches = 0
        answeredFetches = 0
        isRunningReadOutdated = reading
    }
}
