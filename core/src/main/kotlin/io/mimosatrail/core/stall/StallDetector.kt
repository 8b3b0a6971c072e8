package io.mimosatrail.core.stall

import io.mimosatrail.core.id.InstanceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Activity of an open stream: the [engines] on its path and the time since it last showed progress. */
class StreamActivity(val engines: List<InstanceId>, val silence: Duration)

/**
 * Finds engines that may have stopped, sooner than the silence of a single stream would show it. All streams through a
 * stopped engine fall silent at the same moment, while an active stream rules out every engine on its path. A larger
 * group of silent streams is less likely to be a coincidence, so it raises suspicion after a shorter silence.
 */
class StallDetector {
    /** Engines that enough silent [streams] share and no active one passes. */
    fun findSuspects(streams: List<StreamActivity>): Set<InstanceId> {
        if (streams.count { it.silence > LARGE_GROUP_SILENCE } < SMALL_GROUP) return emptySet()
        return findSuspects(streams, LARGE_GROUP_SILENCE, LARGE_GROUP) +
            findSuspects(streams, SMALL_GROUP_SILENCE, SMALL_GROUP)
    }

    /** True if at least one of [streams] is active, which shows that this process still receives answers. */
    fun isReceiving(streams: List<StreamActivity>): Boolean = streams.any { it.silence <= LARGE_GROUP_SILENCE }

    private fun findSuspects(streams: List<StreamActivity>, limit: Duration, minStreams: Int): Set<InstanceId> {
        val (silent, active) = streams.partition { it.silence > limit }
        val ruledOut = active.flatMapTo(HashSet()) { it.engines }
        return silent.flatMap { it.engines }.filter { it !in ruledOut }.groupingBy { it }.eachCount()
            .filterValues { it >= minStreams }.keys
    }

    private companion object {
        /** Two streams may pause at the same time by coincidence; three rarely do. */
        const val SMALL_GROUP = 3

        /** Two to three times the usual interval between two events of a stream. */
        val SMALL_GROUP_SILENCE = 80.milliseconds

        /** This many streams rarely miss two events each at the same time. */
        const val LARGE_GROUP = 6
        val LARGE_GROUP_SILENCE = 50.milliseconds
    }
}
