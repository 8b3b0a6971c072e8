package io.mimosatrail.gateway.follow

import io.mimosatrail.core.front.FrontConfiguration
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoredValue
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.log.logProblem
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps [current] up to date with the operators' configuration stored under [key]. It never returns to an older
 * revision, even if a stale read or an interrupted watch yields one. [watchWait] is how long one watch call may wait.
 */
internal class ConfigurationFollower(
    private val store: StoreCall,
    private val key: StoreKey,
    private val decode: (ByteArray) -> FrontConfiguration?,
    private val watchWait: Duration,
    private val onChange: (FrontConfiguration) -> Unit,
) {
    private val outageLog = StoreOutageLog("configuration")
    private var revision = StoreRevision(0)

    /**
     * Revision of the store up to which changes are known; the next watch starts here. The store keeps only a short
     * history, so a watch that started at the last change of the configuration could fail as compacted.
     */
    private var knownRevision = StoreRevision(0)

    /** Revision of the last configuration that was ignored as too old. */
    private var ignoredRevision = StoreRevision(0)

    /** The configuration in force, or null until one has been read. */
    var current: FrontConfiguration? = null
        private set

    /** Reads and watches the configuration until cancelled. */
    suspend fun run() {
        while (true) {
            if (!read()) delay(RETRY_PAUSE)
            while (current != null && watch()) Unit
        }
    }

    private suspend fun read(): Boolean {
        val reply = store(StoreCommand.List(key))
        if (reply !is StoreReply.Values) {
            outageLog.onFailure(reply)
            return false
        }
        outageLog.onAnswer()
        val value = reply.values.firstOrNull { it.key == key } ?: return false
        knownRevision = reply.revision
        applyIfNewer(value)
        return true
    }

    /** Waits for a change. Returns false if the configuration has to be read again. */
    private suspend fun watch(): Boolean {
        val reply = store(StoreCommand.Watch(key, maxOf(knownRevision, revision), watchWait))
        if (reply !is StoreReply.Changes) {
            outageLog.onFailure(reply)
            delay(RETRY_PAUSE)
            return false
        }
        outageLog.onAnswer()
        if (reply.compacted) return false
        knownRevision = maxOf(knownRevision, reply.revision)
        reply.changes.mapNotNull { it.value }.filter { it.key == key }.maxByOrNull { it.revision }?.let(::applyIfNewer)
        return true
    }

    private fun applyIfNewer(value: StoredValue) {
        if (value.revision <= revision) return logIgnored(value)
        val decoded = decode(value.value)
        revision = value.revision
        if (decoded == null) return logProblem("configuration", "unreadable", "revision" to value.revision)
        val previous = current
        current = decoded
        logEvent(
            "configuration",
            "in-force",
            "version" to decoded.version,
            "revision" to value.revision,
            "previous" to previous?.version,
            "routes" to decoded.routeCount,
            "services" to decoded.services.size,
        )
        onChange(decoded)
    }

    /** Logs that [value] is older than what was read before, once for each revision. */
    private fun logIgnored(value: StoredValue) {
        if (value.revision == revision || value.revision == ignoredRevision) return
        ignoredRevision = value.revision
        logEvent(
            "configuration",
            "ignored",
            "version" to decode(value.value)?.version,
            "revision" to value.revision,
            "known-revision" to revision,
            "in-force" to current?.version,
        )
    }

    private companion object {
        val RETRY_PAUSE = 150.milliseconds
    }
}
