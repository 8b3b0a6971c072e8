package io.mimosatrail.core.stall

import io.mimosatrail.core.id.InstanceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a stream under way shows: the [engines] that it passes, and for how long nothing has come of it. */
class StreamSign(val engines: List<InstanceId>, val silence: Duration)

/**
 * Finds engines that may have stopped before a single stream could tell: all streams that pass such an engine fall
 * silent at the same moment, while a stream that goes on clears every engine on its path.
 */
class StallSuspects(private val leastStreams: Int = LEAST_STREAMS, private val silence: Duration = SILENCE) {
    /** The engines that at least [leastStreams] of [signs] pass, all of them silent. */
    fun of(signs: List<StreamSign>): Set<InstanceId> {
        val silent = signs.filter(::isSilent)
        if (silent.size < leastStreams) return emptySet()
        val cleared = signs.filterNot(::isSilent).flatMapTo(HashSet()) { it.engines }
        return silent.flatMap { it.engines }.filter { it !in cleared }.groupingBy { it }.eachCount()
            .filterValues { it >= leastStreams }.keys
    }

    /** True where one of [signs] shows that answers still reach this process. */
    fun isHearing(signs: List<StreamSign>): Boolean = signs.any { !isSilent(it) }

    private fun isSilent(sign: StreamSign): Boolean = sign.silence > silence

    private companion object {
        /** Two streams may pause together by chance; three seldom do. */
        const val LEAST_STREAMS = 3

        /** Two to three times the usual time between two events of a stream. */
        val SILENCE = 80.milliseconds
    }
}
