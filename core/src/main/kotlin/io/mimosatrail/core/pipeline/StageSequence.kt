package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.time.Moment

/** One request at one stage. */
internal class StageSequence(
    val request: RequestId,
    val name: String,
    var generation: Generation,
    var route: Route,
    val stage: Stage,
    var deadline: Moment,
    var held: Int,
) {
    /** Index of the last token whose positions ran here; null before the first. */
    var lastIndex: Int? = null

    var lastOutput: StageOutput? = null
    val retained = RetainedOutput(held)

    /** Frame that the current engine work, or the last output, answers. */
    var wanted: Frame? = null
    var running: StageWork? = null

    /** Index already passed on in [generation]; null where none was. */
    var emittedIndex: Int? = null
    val isFirst: Boolean get() = route.chain.first.instance == stage.instance
    val isLast: Boolean get() = route.chain.last.instance == stage.instance

    /** The stage after this one; not valid at the last stage. */
    val next: Stage get() = route.chain.stages[route.indexOf(stage.instance) + 1]

    /** The stage before this one, or null at the first. */
    val previous: Stage? get() = route.chain.stages.getOrNull(route.indexOf(stage.instance) - 1)
}

/** Engine work for [frame], of which the positions before [start] ran already. */
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

/** Output of positions [position] until [end]. */
internal class StageOutput(val position: Int, val end: Int, val result: StageResult) {
    /** Activations of the positions from [start] on. */
    fun activationsFrom(start: Int): ByteArray {
        val bytes = (result as StageResult.Activations).bytes
        val perPosition = bytes.size / (end - position)
        return bytes.copyOfRange((start - position) * perPosition, bytes.size)
    }
}
