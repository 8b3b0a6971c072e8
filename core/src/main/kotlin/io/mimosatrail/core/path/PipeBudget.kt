package io.mimosatrail.core.path

import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.time.Moment
import kotlin.time.DurationUnit

/**
 * Bounds what this process's streams send through the pipes between places. All streams share a pipe and wait for each
 * other there, so that a full one stalls every path that crosses it. Not thread-safe.
 */
class PipeBudget(private val usedShare: Double = USED_SHARE) {
    private class Bucket(var bytes: Double, var at: Moment)

    private data class Pipe(val from: PlaceId, val to: PlaceId)

    private val buckets = HashMap<Pipe, Bucket>()

    /** True where another stream may cross; [bytesPerSecond] is the pipe's rate, shared by [entries] entries. */
    fun mayCross(from: PlaceId, to: PlaceId, bytesPerSecond: Double, entries: Int, now: Moment): Boolean =
        refilled(Pipe(from, to), bytesPerSecond / entries, now).bytes > 0

    /** Counts a crossing of [bytes]. */
    fun take(from: PlaceId, to: PlaceId, bytes: Double) {
        buckets[Pipe(from, to)]?.let { it.bytes -= bytes }
    }

    private fun refilled(pipe: Pipe, bytesPerSecond: Double, now: Moment): Bucket {
        val most = bytesPerSecond * usedShare
        val bucket = buckets.getOrPut(pipe) { Bucket(most, now) }
        val added = (now - bucket.at).toDouble(DurationUnit.SECONDS) * most
        bucket.bytes = (bucket.bytes + added).coerceAtMost(most)
        bucket.at = now
        return bucket
    }

    private companion object {
        /** A pipe may run at a third of its rate; the streams that cross it must not fill it then. */
        const val USED_SHARE = 0.25
    }
}
