package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.time.Moment

/**
 * State of one request at one stage.
 *
 * [name] identifies the sequence at the engine. It is unique per opened sequence, so that results of an older
 * generation are recognized. [cachedPositions] is the number of positions in the engine's KV cache.
 */
internal class StageSequence(
    val request: RequestId,
    val name: String,
    var generation: Generation,
    var route: Route,
    val stage: Stage,
    var deadline: Moment,
    var cachedPositions: Int,
) {
    /** Token index of the last finished work, or null before the first. */
    var lastIndex: Int? = null

    /** Result of the last finished work, or null before the first. */
    var lastOutput: StageOutput? = null
    val retained = RetainedOutput(cachedPositions)

    /** Frame answered by the running work or, if none is running, by [lastOutput]. Null before the first. */
    var currentFrame: Frame? = null

    /** Work on the engine, or null. At most one at a time. */
    var running: StageWork? = null

    /** Token index of the last output sent in [generation], or null if none was sent. */
    var emittedIndex: Int? = null
    val isFirst: Boolean get() = route.chain.first.instance == stage.instance
    val isLast: Boolean get() = route.chain.last.instance == stage.instance

    /** The stage after this one. Throws [IndexOutOfBoundsException] at the last stage. */
    val next: Stage get() = route.chain.stages[route.indexOf(stage.instance) + 1]

    /** The stage before this one, or null at the first stage. */
    val previous: Stage? get() = route.chain.stages.getOrNull(route.indexOf(stage.instance) - 1)
}

/**
 * Engine work for [frame], without its positions before [start], which are in the KV cache already.
 *
 * If the frame restores a lost stage, the work starts with the restored positions instead.
 */
internal fun StageSequence.workFor(frame: Frame, start: Int): StageWork {
    val restore = frame.restore
    val first = restore?.from ?: start
    val perPosition = frame.input.size / frame.count
    val input = restore?.let { it.input + frame.input }
        ?: frame.input.copyOfRange((first - frame.position) * perPosition, frame.input.size)
    return StageWork(
        request,
        name,
        frame.index,
        first,
        frame.end - first,
        input,
        isFirst,
        route.priority,
        restore?.snapshot,
    )
}

/** Engine output for the positions from [position] to [end] (exclusive). */
internal class StageOutput(val position: Int, val end: Int, val result: StageResult) {
    /** Activations of the positions from [start] to [end]. */
    fun activationsFrom(start: Int): ByteArray {
        val bytes = (result as StageResult.Activations).bytes
        val perPosition = bytes.size / (end - position)
        return bytes.copyOfRange((start - position) * perPosition, bytes.size)
    }
}
