package io.mimosatrail.gateway.follow

import io.mimosatrail.core.front.FrontConfiguration
import io.mimosatrail.core.id.StoreTimeline
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StorePosition
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoreTimelines
import io.mimosatrail.core.store.StoredValue
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.log.logProblem
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.measureTimedValue

/**
 * Keeps [current] up to date with the operators' configuration stored under [key]. It never returns to an older one,
 * even if a stale read, an interrupted watch or a store that was restored from a backup yields one. [watchWait] is how
 * long one watch call may wait, and [rereadPause] passes before each read that [readAgain] causes.
 */
internal class ConfigurationFollower(
    private val store: StoreCall,
    private val timelines: StoreTimelines,
    private val key: StoreKey,
    private val decode: (ByteArray) -> FrontConfiguration?,
    private val watchWait: Duration,
    private val rereadPause: Duration,
    private val onChange: (FrontConfiguration) -> Unit,
) {
    private val outageLog = StoreOutageLog("configuration")
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)

    /** Newest position of the configuration that was read, whether it came into force or not. */
    private var lastRead: StorePosition? = null

    /** Timeline of the store in which the configuration in force was read. */
    private var inForceSince = StoreTimeline.UNKNOWN

    /**
     * Position up to which changes are known; the next watch starts here. The store keeps only a short history, so a
     * watch that started at the last change of the configuration could fail as compacted.
     */
    private var known: StorePosition? = null

    /** The configuration in force, or null until one has been read. */
    var current: FrontConfiguration? = null
        private set

    /** Called when the watch may never be answered although the configuration has changed. */
    fun readAgain() {
        wakeUps.trySend(Unit)
    }

    /** Reads and watches the configuration until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        while (true) {
            if (!read()) delay(RETRY_PAUSE)
            wakeUps.tryReceive()
            val watching = async { while (watch()) Unit }
            val isInterrupted = select {
                watching.onAwait { false }
                wakeUps.onReceive { true }
            }
            if (!isInterrupted) continue
            watching.cancelAndJoin()
            delay(rereadPause)
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
        known = StorePosition(timelines.current, reply.revision)
        applyIfNewer(value)
        return true
    }

    /** Waits for a change. Returns false if the configuration has to be read again. */
    private suspend fun watch(): Boolean {
        val from = known?.takeIf { it.timeline == timelines.current } ?: return false
        val reply = store(StoreCommand.Watch(key, from.revision, watchWait))
        if (reply !is StoreReply.Changes) {
            outageLog.onFailure(reply)
            delay(RETRY_PAUSE)
            return false
        }
        outageLog.onAnswer()
        if (reply.compacted) return false
        known = from.copy(revision = maxOf(from.revision, reply.revision))
        reply.changes.mapNotNull { it.value }.filter { it.key == key }.maxByOrNull { it.revision }?.let(::applyIfNewer)
        return true
    }

    private fun applyIfNewer(value: StoredValue) {
        val position = StorePosition(timelines.current, value.revision)
        if (lastRead?.let { position <= it } ?: false) return
        lastRead = position
        val (decoded, decodeTime) = measureTimedValue { decode(value.value) }
        if (decoded == null) return logProblem("configuration", "unreadable", "position" to position)
        if (isOlder(decoded, position)) return log("ignored", decoded, position, decodeTime)
        log("in-force", decoded, position, decodeTime)
        inForceSince = position.timeline
        current = decoded
        onChange(decoded)
    }

    /** Revisions order configurations within a timeline of the store. Across a restore only their versions do. */
    private fun isOlder(read: FrontConfiguration, position: StorePosition): Boolean =
        position.timeline != inForceSince && current?.let { read.version < it.version } ?: false

    private fun log(event: String, read: FrontConfiguration, position: StorePosition, decodeTime: Duration) = logEvent(
        "configuration",
        event,
        "version" to read.version,
        "position" to position,
        "previous" to current?.version,
        "routes" to read.routeCount,
        "services" to read.services.size,
        "decode-time" to decodeTime,
    )

    private companion object {
        val RETRY_PAUSE = 150.milliseconds
    }
}
