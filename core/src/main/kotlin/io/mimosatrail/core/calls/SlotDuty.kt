package io.mimosatrail.core.calls

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.mimosatrail.core.id.Epoch

/** What a [SlotDuty] tells its host, for logs and meters. */
sealed interface SlotNotice {
    data class Began(val epoch: Epoch) : SlotNotice

    data class Took(val epoch: Epoch, val slots: Int, val claims: Int) : SlotNotice

    data class Ended(val epoch: Epoch) : SlotNotice

    data class Failed(val fault: StoreFault) : SlotNotice
}

/**
 * Keeps one process's epoch and slots: begins epochs, takes over from owners that are gone, gives slots up for an even
 * share, and hands all of them over at a planned stop. Steps must not overlap.
 */
class SlotDuty(
    private val session: SlotSession,
    private val settings: CallSettings,
    private val slotCount: () -> Int?,
    private val newJournal: (Epoch) -> ClaimJournal,
    private val report: (SlotNotice) -> Unit,
) {
    private var rebalancing: Rebalancing? = null
    private var restSteps = 0
    private var steps = 0L

    @Volatile
    private var isLeaving = false

    /** The journal of the current epoch; null between epochs. */
    @Volatile
    var current: ClaimJournal? = null
        private set

    /** True once the slots are handed over after [leave]. */
    @Volatile
    var hasLeft = false
        private set

    /** Hands the slots over once everything in flight has ended; goes on with each [step]. */
    fun leave() {
        isLeaving = true
        current?.startDraining()
    }

    /** One step of the duty, at [wall]. */
    suspend fun step(wall: WallTime) {
        if (hasLeft) return
        current?.takeIf { it.isLost }?.let(::end)
        when {
            isLeaving -> leaveStep()
            rebalancing != null -> rebalance()
            else -> refresh(wall)
        }
    }

    private suspend fun refresh(wall: WallTime) {
        val slots = slotCount() ?: return
        val journal = current
        session.refresh(journal?.epoch, journal?.served().orEmpty(), slots)
            .onSuccess { apply(it, wall) }
            .onFailure { report(SlotNotice.Failed(it)) }
    }

    private suspend fun apply(step: SlotStep, wall: WallTime) = when (step) {
        is SlotStep.Began -> beginAndTakeSlots(step.epoch, wall)
        is SlotStep.Continued -> continueWith(step.change, wall)
        is SlotStep.Ended -> current?.let(::end)
    }

    private suspend fun beginAndTakeSlots(epoch: Epoch, wall: WallTime) {
        current = newJournal(epoch)
        report(SlotNotice.Began(epoch))
        if (!isLeaving) refresh(wall)
    }

    private suspend fun continueWith(change: SlotChange.Acquired, wall: WallTime) {
        val journal = current ?: return
        journal.shareBudget(change.table.owners.size)
        if (change.slots.isNotEmpty()) {
            journal.admit(change.slots, change.table.slots.size, change.history)
            report(SlotNotice.Took(journal.epoch, change.slots.size, change.history.size))
        }
        if (restSteps > 0) restSteps--
        if (restSteps == 0 && change.held.size > change.table.share()) startRebalancing(journal)
        trim(change.table, journal, wall)
    }

    /** Deletes what is past retention, within the write budget; one owner looks after the sealed journals. */
    private suspend fun trim(table: SlotTable, journal: ClaimJournal, wall: WallTime) {
        repeat(settings.writesPerSecond / table.owners.size) {
            val sequence = journal.oldestExpired(wall) ?: return@repeat
            session.delete(journal.epoch, sequence)
                .onSuccess { journal.onDeleted(sequence) }
                .onFailure { fault -> return report(SlotNotice.Failed(fault)) }
        }
        val isFirst = table.owners.minOf { it.epoch } == journal.epoch
        if (!isFirst || steps++ % TRIM_STEPS != 0L) return
        session.trimSealed(table, wall - settings.retention).onFailure { report(SlotNotice.Failed(it)) }
    }

    private fun startRebalancing(journal: ClaimJournal) {
        rebalancing = Rebalancing(journal)
        journal.startDraining()
    }

    /** Ends the epoch once nothing is in flight, so that the next one takes an even share; long calls put it off. */
    private suspend fun rebalance() {
        val current = rebalancing ?: return
        current.steps++
        session.keepAlive().onFailure { report(SlotNotice.Failed(it)) }
        when {
            current.journal.isQuiet -> end(current.journal)
            current.steps >= MAX_REBALANCING_STEPS -> putOff(current)
        }
    }

    private fun putOff(rebalancing: Rebalancing) {
        rebalancing.journal.stopDraining()
        this.rebalancing = null
        restSteps = REST_STEPS
    }

    private suspend fun leaveStep() {
        val journal = current
        journal?.startDraining()
        session.keepAlive().onFailure { report(SlotNotice.Failed(it)) }
        if (journal != null && !journal.isQuiet) return
        session.leave(journal?.epoch)
            .onSuccess { hasLeft = true }
            .onFailure { report(SlotNotice.Failed(it)) }
    }

    private fun end(journal: ClaimJournal) {
        session.onEnded(journal.epoch)
        current = null
        rebalancing = null
        report(SlotNotice.Ended(journal.epoch))
    }

    private class Rebalancing(val journal: ClaimJournal, var steps: Int = 0)

    private companion object {
        const val TRIM_STEPS = 5L
        const val MAX_REBALANCING_STEPS = 5
        const val REST_STEPS = 30
    }
}
