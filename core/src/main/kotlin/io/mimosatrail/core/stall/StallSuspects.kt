package io.mimosatrail.core.stall

import io.mimosatrail.core.id.InstanceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a stream under way shows: the [engines] that it passes, and for how long nothing has come of it. */
class StreamSign(val engines: List<InstanceId>, val silence: Duration)

/**
 * Finds engines that may have stopped before a single stream could tell: all streams that pass such an engine fall
 * silent at the same moment, while a stream that goes on clears every engine on its path. The more streams are silent
 * together, the less it can be chance.
 */
class StallSuspects {
    /** The engines that a silent group of [signs] shares. */
    fun of(signs: List<StreamSign>): Set<InstanceId> {
        if (signs.count { it.silence > CROWD_SILENCE } < GROUP) return emptySet()
        return suspects(signs, CROWD_SILENCE, CROWD) + suspects(signs, GROUP_SILENCE, GROUP)
    }

    /** True where one of [signs] shows that answers still reach this process. */
    fun isHearing(signs: List<StreamSign>): Boolean = signs.any { it.silence <= CROWD_SILENCE }

    private fun suspects(signs: List<StreamSign>, limit: Duration, least: Int): Set<InstanceId> {
        val (silent, going) = signs.partition { it.silence > limit }
        val cleared = going.flatMapTo(HashSet()) { it.engines }
        return silent.flatMap { it.engines }.filter { it !in cleared }.groupingBy { it }.eachCount()
            .filterValues { it >= least }.keys
    }

    private companion object {
        /** Two streams may pause together by chance; three seldom do. */
        const val GROUP = 3

        /** Two to three times the usual time between two events of a stream. */
        val GROUP_SILENCE = 80.milliseconds

        /** So many streams seldom miss two events each at the same time. */
        const val CROWD = 6
        val CROWD_SILENCE = 50.milliseconds
    }
}
