package io.mimosatrail.core.spread

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/** What this process has heard since it started or woke: decides whether it is ready and whether it is cut off. */
internal class SourcesHeard(private val settings: SpreadSettings) {
    private var lastTick: Moment? = null
    private var lastContact: Moment? = null
    private var peerEnds = 0
    private var peerAnswers = 0
    private var outdatedRead = false

    /** True once the log was read to its end. */
    var storeRead = false
        private set

    /** Notes a tick; true where the process was paused before it, so that everything must be heard anew. */
    fun onTick(now: Moment, reading: Boolean): Boolean {
        val paused = lastTick != null && isPaused(now)
        lastTick = now
        if (paused) reset(reading)
        return paused
    }

    fun onContact(now: Moment) {
        lastContact = now
    }

    fun onPeerEnd(answered: Boolean) {
        peerEnds++
        if (answered) peerAnswers++
    }

    fun onStoreRead(succeeded: Boolean) {
        if (succeeded && !outdatedRead) storeRead = true
        outdatedRead = false
    }

    /** True where the store, or several of [neighbours] peers, were heard. */
    fun isEnough(neighbours: Int): Boolean =
        storeRead || (peerAnswers > 0 && peerEnds >= minOf(settings.startNeighbours, neighbours))

    fun isPaused(now: Moment): Boolean = lastTick.let { it == null || now - it > settings.pauseBound }

    /** Time since the last contact, or null before the first. */
    fun silence(now: Moment): Duration? = lastContact?.let { now - it }

    private fun reset(reading: Boolean) {
        storeRead = false
        peerEnds = 0
        peerAnswers = 0
        outdatedRead = reading
    }
}
