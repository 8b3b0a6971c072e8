package io.mimosatrail.bench.model

import io.mimosatrail.core.pipeline.Chain
import kotlin.time.Duration

private const val PROMPT_TOKENS_PER_UNIT = 20

/** Units of a prompt at each stage. */
internal fun promptUnits(tokens: Int): Int = (tokens / PROMPT_TOKENS_PER_UNIT).coerceIn(1, BATCH_UNITS)

/** Size of a request. */
internal class StreamSize(val promptTokens: Int, val outputTokens: Int)

/** Hears of a stream; [onStage] lets the prompt into a stage by calling `proceed`, or never. */
internal class StreamListener(
    val onStage: (runner: RunnerModel, proceed: () -> Unit) -> Unit,
    val onToken: (index: Int) -> Unit,
    val onEnd: () -> Unit,
)

/** One stream through a chain: the prompt, then a token at a time, each through every stage in order. */
internal class StreamModel(
    private val fleet: FleetModel,
    private val entry: EntryModel,
    val chain: Chain,
    private val size: StreamSize,
    private val listener: StreamListener,
) {
    private val loop = fleet.loop
    private val stages = chain.stages.map { fleet.byId.getValue(it.instance) }

    var isOpen = false
        private set

    fun open() {
        isOpen = true
        entry.onOpened(chain)
        loop.after(linkTime(entry.self, stages.first().entry)) { enter(0) }
    }

    fun close() {
        if (!isOpen) return
        isOpen = false
        entry.onClosed(chain)
    }

    /** Time for a message from the stage of [runner] to the entry. */
    fun toEntry(runner: RunnerModel): Duration = linkTime(runner.entry, entry.self)

    private fun enter(stage: Int) {
        if (isOpen) listener.onStage(stages[stage]) { run(0, stage) }
    }

    private fun run(token: Int, stage: Int) {
        if (!isOpen) return
        val units = if (token == 0) promptUnits(size.promptTokens) else 1
        stages[stage].submit(StepItem(units, loop.now) { if (isOpen) passOn(token, stage) })
    }

    private fun passOn(token: Int, stage: Int) {
        if (stage < stages.lastIndex) {
            val next = { if (token == 0) enter(stage + 1) else run(token, stage + 1) }
            return loop.after(link(stage, stage + 1), next)
        }
        deliver(token)
        if (token + 1 < size.outputTokens) loop.after(link(stage, 0)) { run(token + 1, 0) }
    }

    private fun deliver(token: Int) {
        val last = stages.last()
        val loads = stages.map { it.id to it.load() }
        loop.after(toEntry(last)) {
            if (!isOpen) return@after
            if (token % LOAD_EVERY_TOKENS == 0) loads.forEach { (id, load) -> entry.table.onLoad(id, load, loop.now) }
            listener.onToken(token)
            if (token == size.outputTokens - 1) {
                close()
                listener.onEnd()
            }
        }
    }

    private fun link(from: Int, to: Int): Duration = linkTime(stages[from].entry, stages[to].entry)

    private companion object {
        const val LOAD_EVERY_TOKENS = 16
    }
}
