package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId

/** A first frame that has not arrived counts as lost once [ActiveStream.timeoutFactor] reaches this value. */
private const val MAX_WAIT_FACTOR = 4

/**
 * Cause of a stall, as far as the answers to probes show it.
 *
 * [lost] stages did not answer, were unreachable or lost their state. [slow] is a stage that is still running its work,
 * or null. With [firstFramePending] a stage has not received its first frame, which may still be in transit. If none of
 * these is set, messages were lost.
 */
internal class Stall(
    val lost: Set<InstanceId> = emptySet(),
    val slow: InstanceId? = null,
    val firstFramePending: Boolean = false,
) {
    /** True if none of the lost stages answered [probe] or was unreachable: they may be paused rather than lost. */
    fun isUnconfirmed(probe: ActiveProbe): Boolean = lost.none { it in probe.answers || it in probe.unreachable }
}

/** Determines why a stream stalled, from the answers to [probe]. */
internal class StallDiagnosis(private val stream: ActiveStream, private val probe: ActiveProbe) {
    private val answers get() = probe.answers
    private val stages = stream.chain.stages.map { it.instance }

    /** True if no more answers are outstanding and at least one stage is known to be lost. */
    val isConclusive: Boolean
        get() = stages.all { it in answers || it in probe.unreachable } &&
            (probe.unreachable.isNotEmpty() || withoutState.isNotEmpty())

    /** Stages that answered without state for the request, although a token of this generation passed them. */
    private val withoutState: Set<InstanceId>
        get() = if (stream.awaitsFirstToken) emptySet() else stages.filter { answers[it]?.known == false }.toSet()

    fun diagnose(): Stall {
        val gone = stages.filter { it !in answers }.toSet() + withoutState
        val behind = stages.firstOrNull { it in answers && isBehind(answers.getValue(it)) }
        return when {
            gone.isNotEmpty() -> Stall(gone)
            behind == null -> Stall()
            answers.getValue(behind).running -> Stall(slow = behind)
            !answers.getValue(behind).known && stream.timeoutFactor < MAX_WAIT_FACTOR -> Stall(firstFramePending = true)
            stream.resumed || !answers.getValue(behind).known -> Stall(setOf(behind))
            else -> Stall()
        }
    }

    private fun isBehind(progress: StageProgress) = !progress.known || progress.index < stream.delivered.size
}
