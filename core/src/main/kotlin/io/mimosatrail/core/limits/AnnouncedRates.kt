package io.mimosatrail.core.limits

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.registry.RegistryChange
import io.mimosatrail.core.time.Moment

/**
 * Limit that [upstream] announced: it accepts [perSecond] requests a second from all entries together, null if it
 * announces no limit any more. [learnedAt] is when the announcement was received.
 */
data class AnnouncedRate(val upstream: InstanceId, val perSecond: Double?, val learnedAt: Moment)

/** The newest announcement of each upstream that has announced a limit. Not thread-safe. */
class AnnouncedRates {
    private val newest = HashMap<InstanceId, AnnouncedRate>()

    /** The newest announcement of each upstream, ended limits included. */
    val all: Collection<AnnouncedRate> get() = newest.values

    /** Requests per second that [upstream] accepts from all entries together, or null if there is no limit. */
    operator fun get(upstream: InstanceId): Double? = newest[upstream]?.perSecond

    /**
     * Records what an answer of [upstream] announced. It was received at [now], and its request was sent at [sentAt].
     * An answer without a limit ends an announcement only if that was received before its request was sent. Returns
     * true if the limit changed.
     */
    fun onAnswer(upstream: InstanceId, perSecond: Double?, sentAt: Moment, now: Moment): Boolean =
        onAnnouncement(AnnouncedRate(upstream, perSecond, if (perSecond == null) sentAt else now))

    /** Records [announcement] unless a newer one is known. Returns true if the limit changed. */
    fun onAnnouncement(announcement: AnnouncedRate): Boolean {
        val known = newest[announcement.upstream]
        if (known == null && announcement.perSecond == null) return false
        if (known != null && known.learnedAt >= announcement.learnedAt) return false
        newest[announcement.upstream] = announcement
        return known?.perSecond != announcement.perSecond
    }

    /** Removes the announcements of upstreams that restarted or left. */
    fun onRegistry(changes: List<RegistryChange>) {
        for (change in changes) {
            if (change.before?.startedMillis != change.after?.startedMillis) newest -= change.id
        }
    }
}
