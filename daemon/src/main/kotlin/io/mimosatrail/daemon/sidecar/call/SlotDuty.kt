package io.mimosatrail.daemon.sidecar.call

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.mimosatrail.core.calls.CallSettings
import io.mimosatrail.core.calls.SlotChange
import io.mimosatrail.core.calls.SlotSession
import io.mimosatrail.core.calls.SlotStep
import io.mimosatrail.core.calls.SlotTable
import io.mimosatrail.core.id.Epoch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

private val log = KotlinLogging.logger("calls")

/** Keeps this sidecar's epoch and slots, one step at a time. */
internal class SlotDuty(
    private val session: SlotSession,
    private val settings: CallSettings,
    private val slotCount: () -> Int?,
    private val newJournal: (Epoch) -> JournalHost,
) {
    private val mutex = Mutex()
    private var isRebalancing = false
    private var isLeaving = false
    private var steps = 0L

    /** The journal of the current epoch; null between epochs. */
    @Volatile
    var current: JournalHost? = null
        private set

    /** True once the slots are handed over after [leave]. */
    @Volatile
    var hasLeft = false
        private set

    /** One step of the duty; does nothing while another step is under way. */
    suspend fun step() {
        if (!mutex.tryLock()) return
        try {
            if (isLeaving) leaveStep() else refresh()
        } finally {
            mutex.unlock()
        }
    }

    /** Hands the slots over once everything in flight has ended; goes on with each [step]. */
    suspend fun leave() = mutex.withLock {
        isLeaving = true
        current?.locked { startDraining() }
    }

    private suspend fun refresh() {
        val slots = slotCount() ?: return
        current?.takeIf { it.isLost }?.let { end() }
        if (isRebalancing) return rebalance()
        val journal = current
        session.refresh(journal?.epoch, journal?.locked { served() }.orEmpty(), slots)
            .onSuccess { apply(it) }
            .onFailure { log.warn { "calls: slots were not refreshed: ${it.detail}" } }
    }

    private suspend fun apply(step: SlotStep) = when (step) {
        is SlotStep.Began -> beginAndTakeSlots(step.epoch)
        is SlotStep.Continued -> continueWith(step.change)
        is SlotStep.Ended -> current = null
    }

    private suspend fun beginAndTakeSlots(epoch: Epoch) {
        current = newJournal(epoch)
        log.info { "calls: epoch $epoch began" }
        refresh()
    }

    private suspend fun continueWith(change: SlotChange.Acquired) {
        val journal = current ?: return
        journal.locked {
            shareBudget(change.table.owners.size)
            if (change.slots.isNotEmpty()) admit(change.slots, change.table.slots.size, change.history)
        }
        if (change.slots.isNotEmpty()) {
            log.info { "calls: epoch ${journal.epoch} took ${change.slots.size} slots, ${change.history.size} claims" }
        }
        if (change.held.size > change.table.share()) startRebalancing(journal)
        trim(change.table, journal)
    }

    private fun startRebalancing(journal: JournalHost) {
        isRebalancing = true
        journal.locked { startDraining() }
    }

    /** Ends the epoch once it is quiet; the next one takes its share, which leaves the rest to other owners. */
    private suspend fun rebalance() {
        session.keepAlive()
        val journal = current
        if (journal == null) {
            isRebalancing = false
            return
        }
        if (!journal.isQuiet) return
        session.retire(journal.epoch).onSuccess { current = null }
    }

    private suspend fun trim(table: SlotTable, journal: JournalHost) {
        if (steps++ % TRIM_STEPS != 0L) return
        session.trim(table, journal.epoch, journal.time().wall - settings.retention)
            .onFailure { log.debug { "calls: the journal was not trimmed: ${it.detail}" } }
    }

    private suspend fun leaveStep() {
        val journal = current ?: return close()
        if (journal.isLost) return end()
        session.keepAlive()
        if (journal.isQuiet) session.retire(journal.epoch).onSuccess { current = null }
    }

    private suspend fun close() {
        session.close()
        hasLeft = true
    }

    private fun end() {
        session.onEnded()
        current = null
    }

    private companion object {
        const val TRIM_STEPS = 10L
    }
}
