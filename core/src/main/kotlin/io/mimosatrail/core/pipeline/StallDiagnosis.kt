package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId

private const val MAX_FIRST_FRAME_PATIENCE = 4

/**
 * What probes say of a stall: [lost] stages are gone, a [slow] one still runs, and with [onItsWay] the
 * first frame to one may still arrive; with none of these, messages were lost.
 */
internal class Stall(
    val lost: Set<InstanceId> = emptySet(),
    val slow: InstanceId? = null,
    val onItsWay: Boolean = false,
) {
    /** True where the lost stages only did not answer [probe]. */
    fun isUnproven(probe: ActiveProbe): Boolean = lost.none { it in probe.answers || it in probe.unreachable }
}

/** Finds the stages at fault for the stall of a stream, from the answers to probes. */
internal class StallDiagnosis(private val stream: ActiveStream, private val probe: ActiveProbe) {
    private val answers get() = probe.answers
    private val stages = stream.chain.stages.map { it.instance }

    /** True where nothing more will be heard and some stage is certainly lost. */
    val isCertain: Boolean
        get() = stages.all { it in answers || it in probe.unreachable } &&
            (probe.unreachable.isNotEmpty() || forgetful.isNotEmpty())

    /** Stages that answered and hold nothing of a request that they ran before. */
    private val forgetful: Set<InstanceId>
        get() = if (stream.awaitsFirst) emptySet() else stages.filter { answers[it]?.known == false }.toSet()

    fun stall(): Stall {
        val gone = stages.filter { it !in answers }.toSet() + forgetful
        val behind = stages.firstOrNull { it in answers && isBehind(answers.getValue(it)) }
        return when {
            gone.isNotEmpty() -> Stall(gone)
            behind == null -> Stall()
            answers.getValue(behind).running -> Stall(slow = behind)
            !answers.getValue(behind).known && stream.patience < MAX_FIRST_FRAME_PATIENCE -> Stall(onItsWay = true)
            stream.resumed || !answers.getValue(behind).known -> Stall(setOf(behind))
            else -> Stall()
        }
    }

    private fun isBehind(progress: StageProgress) = !progress.known || progress.index < stream.delivered.size
}
