package io.mimosatrail.gateway.follow

import io.mimosatrail.core.quarantine.ContentQuarantine
import io.mimosatrail.core.quarantine.QuarantineUpdate
import io.mimosatrail.core.quarantine.RequestPattern
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
 * Keeps [quarantine] across a restart of all entries: writes the patterns of requests that this entry refuses to the
 * store, under leases that end with the refusal, and reads them once after the start. A restore of the store from a
 * backup may lose them, so they are written again then.
 */
internal class QuarantineKeeper(
    private val store: StoreCall,
    private val quarantine: ContentQuarantine,
    private val clock: Clock,
) {
    private val unsaved = LinkedHashSet<String>()
    private val saved = LinkedHashSet<String>()
    private val outageLog = StoreOutageLog("quarantine")

    /** Has what is [refused] written to the store. */
    fun save(refused: QuarantineUpdate) {
        unsaved += refused.refused.map { it.toString() }.filter(::canBeSaved)
    }

    /** Has all written again that is still refused, after the store was restored from a backup. */
    fun onRestored() {
        saved.retainAll(::isRefused)
        unsaved += saved
    }

    /** Reads what was quarantined before, then writes what is quarantined now, until cancelled. */
    suspend fun run() {
        while (!restore()) delay(PERIOD)
        while (true) {
            unsaved.toList().forEach { value ->
                if (write(value)) {
                    unsaved -= value
                    saved += value
                }
            }
            delay(PERIOD)
        }
    }

    private fun canBeSaved(value: String): Boolean = value.length in 1..MAX_LENGTH

    private fun isRefused(value: String): Boolean = quarantine.isRefused(RequestPattern.parse(value), clock())

    private suspend fun restore(): Boolean {
        val values = when (val listing = store.listAll(QUARANTINE / "")) {
            is Listing.Complete -> listing.values
            is Listing.Failed -> {
                outageLog.onFailure(listing.reply)
                return false
            }
        }
        outageLog.onAnswer()
        val patterns = values.map { it.value.decodeToString() }.filter(::canBeSaved)
        quarantine.restore(patterns.map(RequestPattern::parse), clock())
        patterns.forEach { logProblem("quarantine", "restored", "value" to it) }
        return true
    }

    private suspend fun write(value: String): Boolean {
        val reply = when (val granted = store(StoreCommand.Grant(ContentQuarantine.REFUSAL_TIME))) {
            is StoreReply.Lease ->
                store(StoreCommand.Put(QUARANTINE / value, value.encodeToByteArray(), null, granted.id))
            else -> granted
        }
        if (reply !is StoreReply.Written) {
            outageLog.onFailure(reply)
            return false
        }
        outageLog.onAnswer()
        logEvent("quarantine", "saved", "value" to value)
        return true
    }

    private companion object {
        val PERIOD = 1.seconds

        /** Keys of the store have at most 200 bytes. */
        const val MAX_LENGTH = 160
    }
}
