package io.mimosatrail.core.calls

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.mimosatrail.core.id.Epoch

/** An event of a [SlotLifecycle] that its host may log or count. */
sealed interface SlotEvent {
    data class EpochStarted(val epoch: Epoch) : SlotEvent

    /** [slots] slots were added to [epoch], with [claims] claims from earlier journals. */
    data class SlotsTaken(val epoch: Epoch, val slots: Int, val claims: Int) : SlotEvent

    data class EpochEnded(val epoch: Epoch) : SlotEvent

    /** A store operation failed; the next step tries again. */
    data class StoreFailed(val fault: StoreFault) : SlotEvent
}

/**
 * Manages the epochs and slots of one process: starts epochs, takes over slots of owners whose lease ended, releases
 * slots beyond an even share, and hands all of them over at a planned stop. The host calls [step] periodically; calls
 * must not overlap.
 *
 * [slotCount] returns the service's number of slots, or null while it is not known.
 */
class SlotLifecycle(
    private val session: SlotSession,
    private val settings: CallSettings,
    private val slotCount: () -> Int?,
    private val newJournal: (Epoch) -> ClaimJournal,
    private val onEvent: (SlotEvent) -> Unit,
) {
    private var rebalancing: Rebalancing? = null
    private var pauseSteps = 0
    private var steps = 0L

    @Volatile
    private var isLeaving = false

    /** Journal of the current epoch; null while there is none. */
    @Volatile
    var current: ClaimJournal? = null
        private set

    /** True once all slots are handed over after [leave]. */
    @Volatile
    var hasLeft = false
        private set

    /** Starts handing over all slots; later calls of [step] complete it once no call is pending. */
    fun leave() {
        isLeaving = true
        current?.startDraining()
    }

    /** Performs the work due at [wall]. */
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
        session.refresh(journal?.epoch, journal?.servedSlots().orEmpty(), slots)
            .onSuccess { apply(it, wall) }
            .onFailure { onEvent(SlotEvent.StoreFailed(it)) }
    }

    private suspend fun apply(step: RefreshResult, wall: WallTime) = when (step) {
        is RefreshResult.Started -> startAndTakeSlots(step.epoch, wall)
        is RefreshResult.Continued -> continueWith(step.change, wall)
        is RefreshResult.Ended -> current?.let(::end)
    }

    private suspend fun startAndTakeSlots(epoch: Epoch, wall: WallTime) {
        current = newJournal(epoch)
        onEvent(SlotEvent.EpochStarted(epoch))
        if (!isLeaving) refresh(wall)
    }

    private suspend fun continueWith(change: TakeoverResult.Acquired, wall: WallTime) {
        val journal = current ?: return
        journal.setOwnerCount(change.table.owners.size)
        if (change.added.isNotEmpty()) {
            journal.addSlots(change.added, change.table.slots.size, change.history)
            onEvent(SlotEvent.SlotsTaken(journal.epoch, change.added.size, change.history.size))
        }
        if (pauseSteps > 0) pauseSteps--
        if (pauseSteps == 0 && change.held.size > change.table.evenShare()) startRebalancing(journal)
        trim(change.table, journal, wall)
    }

    /**
     * Deletes records past retention, within this owner's share of the write budget. Only the owner with the lowest
     * epoch trims the sealed journals.
     */
    private suspend fun trim(table: SlotTable, journal: ClaimJournal, wall: WallTime) {
        repeat(settings.writesPerSecond / table.owners.size) {
            val sequence = journal.oldestExpiredSequence(wall) ?: return@repeat
            session.delete(journal.epoch, sequence)
                .onSuccess { journal.onDeleted(sequence) }
                .onFailure { fault -> return onEvent(SlotEvent.StoreFailed(fault)) }
        }
        val isOldestOwner = table.owners.minOf { it.epoch } == journal.epoch
        if (!isOldestOwner || steps++ % TRIM_STEPS != 0L) return
        session.trimSealed(table, wall - settings.retention).onFailure { onEvent(SlotEvent.StoreFailed(it)) }
    }

    private fun startRebalancing(journal: ClaimJournal) {
        rebalancing = Rebalancing(journal)
        journal.startDraining()
    }

    /**
     * Ends the epoch once no call is pending; the next epoch takes only an even share of the slots. Rebalancing is
     * postponed if calls are still pending after [MAX_REBALANCING_STEPS] steps.
     */
    private suspend fun rebalance() {
        val current = rebalancing ?: return
        current.steps++
        session.keepAlive().onFailure { onEvent(SlotEvent.StoreFailed(it)) }
        when {
            current.journal.isIdle -> end(current.journal)
            current.steps >= MAX_REBALANCING_STEPS -> postpone(current)
        }
    }

    private fun postpone(rebalancing: Rebalancing) {
        rebalancing.journal.stopDraining()
        this.rebalancing = null
        pauseSteps = REBALANCING_PAUSE_STEPS
    }

    private suspend fun leaveStep() {
        val journal = current
        journal?.startDraining()
        session.keepAlive().onFailure { onEvent(SlotEvent.StoreFailed(it)) }
        if (journal != null && !journal.isIdle) return
        session.leave(journal?.epoch)
            .onSuccess { hasLeft = true }
            .onFailure { onEvent(SlotEvent.StoreFailed(it)) }
    }

    private fun end(journal: ClaimJournal) {
        session.onEpochEnded(journal.epoch)
        current = null
        rebalancing = null
        onEvent(SlotEvent.EpochEnded(journal.epoch))
    }

    private class Rebalancing(val journal: ClaimJournal, var steps: Int = 0)

    private companion object {
        /** The sealed journals are trimmed at each fifth step. */
        const val TRIM_STEPS = 5L
        const val MAX_REBALANCING_STEPS = 5

        /** Steps without another attempt after rebalancing was postponed. */
        const val REBALANCING_PAUSE_STEPS = 30
    }
}
