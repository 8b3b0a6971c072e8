package io.mimosatrail.bench.model

import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.pipeline.Chain
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

private const val PROMPT_TOKENS_PER_UNIT = 20

/** Units of a prompt at each stage. */
internal fun promptUnits(tokens: Int): Int = (tokens / PROMPT_TOKENS_PER_UNIT).coerceIn(1, BATCH_UNITS)

/** One stream through a chain: the prompt, then a token at a time, each through every stage in order. */
internal class StreamModel(
    private val fleet: FleetModel,
    private val entry: EntryModel,
    val chain: Chain,
    private val promptTokens: Int,
    private val outputTokens: Int,
    private val onToken: (index: Int, now: Moment) -> Unit,
    private val onEnd: () -> Unit,
) {
    private val loop = fleet.loop
    private val stages = chain.stages.map { fleet.byId.getValue(it.instance) }
    private var isOpen = false

    fun open() {
        isOpen = true
        stages.forEach { it.open++ }
        entry.onOpened(chain)
        loop.after(linkTime(entry.self, stages.first().entry)) { run(0, 0) }
    }

    fun close() {
        if (!isOpen) return
        isOpen = false
        stages.forEach { it.open-- }
        entry.onClosed(chain)
    }

    private fun run(token: Int, stage: Int) {
        val units = if (token == 0) promptUnits(promptTokens) else 1
        stages[stage].submit(StepItem(units) { if (isOpen) passOn(token, stage) })
    }

    private fun passOn(token: Int, stage: Int) {
        if (stage < stages.lastIndex) return loop.after(link(stage, stage + 1)) { run(token, stage + 1) }
        deliver(token)
        if (token + 1 < outputTokens) loop.after(link(stage, 0)) { run(token + 1, 0) }
    }

    private fun deliver(token: Int) {
        val last = stages.last()
        val load = last.load()
        loop.after(linkTime(last.entry, entry.self)) {
            if (token == outputTokens - 1) {
                end(load)
            } else if (isOpen) {
                onToken(token, loop.now)
            }
        }
    }

    private fun end(load: UpstreamLoad) {
        entry.table.onLoad(stages.last().id, load, loop.now)
        onToken(outputTokens - 1, loop.now)
        close()
        onEnd()
    }

    private fun link(from: Int, to: Int): Duration = linkTime(stages[from].entry, stages[to].entry)
}
