package io.mimosatrail.core.path

import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.time.Moment
import kotlin.time.DurationUnit

/**
 * Limits what the streams of this process send over the links between places, with a token bucket for each link and
 * direction. All streams share a link, so a saturated one stalls every path that crosses it. Not thread-safe.
 */
class LinkBudget(private val maxUtilization: Double = MAX_UTILIZATION) {
    private class Bucket(var bytes: Double, var refilledAt: Moment)

    private data class Link(val from: PlaceId, val to: PlaceId)

    private val buckets = HashMap<Link, Bucket>()

    /**
     * True if another stream may cross from [from] to [to]. [bytesPerSecond] is the rate of the link, of which each of
     * [entries] entries has an equal share.
     */
    fun mayCross(from: PlaceId, to: PlaceId, bytesPerSecond: Double, entries: Int, now: Moment): Boolean =
        refilled(Link(from, to), bytesPerSecond / entries, now).bytes > 0

    /** Takes [bytes] for a stream that crosses; the bucket may become negative. Ignored before the first [mayCross]. */
    fun take(from: PlaceId, to: PlaceId, bytes: Double) {
        buckets[Link(from, to)]?.let { it.bytes -= bytes }
    }

    private fun refilled(link: Link, bytesPerSecond: Double, now: Moment): Bucket {
        val capacity = bytesPerSecond * maxUtilization
        val bucket = buckets.getOrPut(link) { Bucket(capacity, now) }
        val added = (now - bucket.refilledAt).toDouble(DurationUnit.SECONDS) * capacity
        bucket.bytes = (bucket.bytes + added).coerceAtMost(capacity)
        bucket.refilledAt = now
        return bucket
    }

    private companion object {
        /** A degraded link may run at a third of its rate and must not be saturated even then. */
        const val MAX_UTILIZATION = 0.25
    }
}
