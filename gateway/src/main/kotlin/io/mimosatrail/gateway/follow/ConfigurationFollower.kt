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
 * Follows the operators' configuration under [key]. What is in force never goes back to an older revision, whatever
 * a stale read or a watch that was cut brings.
 */
internal class ConfigurationFollower(
    private val store: StoreCall,
    private val key: StoreKey,
    private val decode: (ByteArray) -> FrontConfiguration?,
    private val watchWait: Duration,
    private val onChange: (FrontConfiguration) -> Unit,
) {
    private val link = StoreLink("configuration")
    private var revision = StoreRevision(0)

    /** Where the next watch continues; the store's history may be too short for the last change. */
    private var watched = StoreRevision(0)

    /** The configuration in force, or null before one was read. */
    var current: FrontConfiguration? = null
        private set

    /** Reads and watches until cancelled. */
    suspend fun run() {
        while (true) {
            if (!read()) delay(RETRY_PAUSE)
            while (current != null && watch()) Unit
        }
    }

    private suspend fun read(): Boolean {
        val reply = store(StoreCommand.List(key))
        if (reply !is StoreReply.Values) {
            link.onFailure(reply)
            return false
        }
        link.onAnswer()
        val value = reply.values.firstOrNull { it.key == key } ?: return false
        watched = reply.revision
        take(value)
        return true
    }

    /** Waits for a change; answers false where the configuration has to be read again. */
    private suspend fun watch(): Boolean {
        val reply = store(StoreCommand.Watch(key, maxOf(watched, revision), watchWait))
        if (reply !is StoreReply.Changes) {
            link.onFailure(reply)
            delay(RETRY_PAUSE)
            return false
        }
        link.onAnswer()
        if (reply.compacted) return false
        watched = maxOf(watched, reply.revision)
        reply.changes.mapNotNull { it.value }.filter { it.key == key }.maxByOrNull { it.revision }?.let(::take)
        return true
    }

    private fun take(value: StoredValue) {
        if (value.revision <= revision) return
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

    private companion object {
        val RETRY_PAUSE = 150.milliseconds
    }
}
