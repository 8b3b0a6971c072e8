package io.mimosatrail.bench.model

import io.mimosatrail.core.pipeline.Chain
import kotlin.time.Duration

private const val PROMPT_TOKENS_PER_UNIT = 20

/** Units of work that a prompt of [tokens] takes at each stage. */
internal fun promptUnits(tokens: Int): Int = (tokens / PROMPT_TOKENS_PER_UNIT).coerceIn(1, BATCH_UNITS)

/** Number of tokens in a request's prompt and in its answer. */
internal class StreamSize(val promptTokens: Int, val outputTokens: Int)

/** Callbacks of a stream. [onStage] is called when the prompt reaches a stage; calling `proceed` runs it there. */
internal class StreamListener(
    val onStage: (runner: RunnerModel, proceed: () -> Unit) -> Unit,
    val onToken: (index: Int) -> Unit,
    val onEnd: () -> Unit,
)

/** A stream through a chain: first the prompt, then one token at a time passes through all stages in order. */
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
        loop.after(linkLatency(entry.self, stages.first().entry)) { enter(0) }
    }

    fun close() {
        if (!isOpen) return
        isOpen = false
        entry.onClosed(chain)
    }

    /** Latency of a message from [runner] to the entry. */
    fun latencyToEntry(runner: RunnerModel): Duration = linkLatency(runner.entry, entry.self)

    private fun enter(stage: Int) {
        if (isOpen) listener.onStage(stages[stage]) { run(0, stage) }
    }

    private fun run(token: Int, stage: Int) {
        if (!isOpen) return
        val units = if (token == 0) promptUnits(size.promptTokens) else 1
        stages[stage].submit(StepItem(units, loop.now) { if (isOpen) advance(token, stage) })
    }

    private fun advance(token: Int, stage: Int) {
        if (stage < stages.lastIndex) {
            val next = { if (token == 0) enter(stage + 1) else run(token, stage + 1) }
            return loop.after(latency(stage, stage + 1), next)
        }
        deliver(token)
        if (token + 1 < size.outputTokens) loop.after(latency(stage, 0)) { run(token + 1, 0) }
    }

    private fun deliver(token: Int) {
        val last = stages.last()
        val loads = stages.map { it.id to it.load() }
        loop.after(latencyToEntry(last)) {
            if (!isOpen) return@after
            if (token % LOAD_EVERY_TOKENS == 0) loads.forEach { (id, load) -> entry.table.onLoad(id, load, loop.now) }
            listener.onToken(token)
            if (token == size.outputTokens - 1) {
                close()
                listener.onEnd()
            }
        }
    }

    private fun latency(from: Int, to: Int): Duration = linkLatency(stages[from].entry, stages[to].entry)

    private companion object {
        const val LOAD_EVERY_TOKENS = 16
    }
}
