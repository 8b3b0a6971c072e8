package io.mimosatrail.gateway.follow

import io.mimosatrail.core.id.PromptPartId
import io.mimosatrail.core.quarantine.PromptQuarantine
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.time.Clock
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.log.logProblem
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

private val QUARANTINE = StoreKey("mimosatrail/quarantine")

/**
 * Keeps [quarantine] across a restart of all entries: writes the parts that this entry quarantines to the store, under
 * leases that end with the quarantine, and reads them once after the start. A restore of the store from a backup may
 * lose them, so they are written again then.
 */
internal class QuarantineKeeper(
    private val store: StoreCall,
    private val quarantine: PromptQuarantine,
    private val clock: Clock,
) {
    private val unsaved = LinkedHashSet<PromptPartId>()
    private val saved = LinkedHashSet<PromptPartId>()
    private val outageLog = StoreOutageLog("quarantine")

    /** Has [part] written to the store. */
    fun save(part: PromptPartId) {
        if (canBeSaved(part)) unsaved += part
    }

    /** Has all parts written again that are still quarantined, after the store was restored from a backup. */
    fun onRestored() {
        val now = clock()
        saved.removeIf { quarantine.find(listOf(it), now) == null }
        unsaved += saved
    }

    /** Reads what was quarantined before, then writes what is quarantined now, until cancelled. */
    suspend fun run() {
        while (!restore()) delay(PERIOD)
        while (true) {
            unsaved.toList().forEach { part ->
                if (write(part)) {
                    unsaved -= part
                    saved += part
                }
            }
            delay(PERIOD)
        }
    }

    private fun canBeSaved(part: PromptPartId): Boolean = part.value.length in 1..MAX_PART_LENGTH

    private suspend fun restore(): Boolean {
        val values = when (val listing = store.listAll(QUARANTINE / "")) {
            is Listing.Complete -> listing.values
            is Listing.Failed -> {
                outageLog.onFailure(listing.reply)
                return false
            }
        }
        outageLog.onAnswer()
        val parts = values.map { PromptPartId(it.value.decodeToString()) }.filter(::canBeSaved)
        quarantine.restore(parts, clock())
        parts.forEach { logProblem("quarantine", "restored", "part" to it) }
        return true
    }

    private suspend fun write(part: PromptPartId): Boolean {
        val reply = when (val granted = store(StoreCommand.Grant(PromptQuarantine.QUARANTINE_TIME))) {
            is StoreReply.Lease ->
                store(StoreCommand.Put(QUARANTINE / part.value, part.value.encodeToByteArray(), null, granted.id))
            else -> granted
        }
        if (reply !is StoreReply.Written) {
            outageLog.onFailure(reply)
            return false
        }
        outageLog.onAnswer()
        logEvent("quarantine", "saved", "part" to part)
        return true
    }

    private companion object {
        val PERIOD = 1.seconds

        /** Keys of the store have at most 200 bytes. */
        const val MAX_PART_LENGTH = 64
    }
}
