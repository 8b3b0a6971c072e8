package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId

/** Finds the stages at fault for a stall of the token [awaited], from their [answers] to probes. */
internal class StallDiagnosis(
    private val chain: Chain,
    private val answers: Map<InstanceId, StageProgress>,
    private val awaited: Int,
) {
    /** Stages to replace; empty where every stage answers and the messages between them may have been lost. */
    fun lostStages(resumedBefore: Boolean): Set<InstanceId> {
        val gone = chain.stages.map { it.instance }.filter { answers[it]?.known != true }
        if (gone.isNotEmpty()) return gone.toSet()
        val behind = chain.stages.map { it.instance }.firstOrNull { isBehind(answers.getValue(it)) }
        val slow = behind?.takeIf { answers.getValue(it).running || resumedBefore }
        return setOfNotNull(slow)
    }

    private fun isBehind(progress: StageProgress) = progress.index < awaited
}
