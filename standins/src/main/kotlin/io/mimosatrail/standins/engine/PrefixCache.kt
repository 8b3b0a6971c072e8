package io.mimosatrail.standins.engine

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Number of positions in one cached block. */
internal const val BLOCK_POSITIONS = 16
private const val HASH_BYTES = 8
private const val MAX_EVENTS = 1_000

/**
 * Cache of prompt prefixes in blocks of [BLOCK_POSITIONS] positions with LRU eviction, and the log of its events. The
 * identifier of a prefix is the first 8 bytes, in hex, of the SHA-256 of its inputs (8 bytes for each position, big
 * endian).
 */
internal class PrefixCache(private val settings: EngineSettings, private val nowMillis: () -> Long) {
    private val blocks = LinkedHashMap<String, Unit>(16, 0.75f, true)
    private val events = ArrayDeque<TimedEvent>()
    private var lastEvent = 0L

    /** Stores the prefixes of [inputs]. Returns the number of leading positions that were cached before. */
    @Synchronized
    fun store(inputs: LongArray): Int {
        var cachedPositions = 0
        var hasMissed = false
        prefixes(inputs).forEachIndexed { index, prefix ->
            hasMissed = hasMissed || blocks[prefix] == null
            if (hasMissed) add(prefix) else cachedPositions = (index + 1) * BLOCK_POSITIONS
        }
        return cachedPositions
    }

    @Synchronized
    fun clear() = blocks.clear()

    /** Visible events with a number above [number], without the lost ones. */
    @Synchronized
    fun eventsAfter(number: Long): CacheEventsBody {
        val visible = events.filter { it.atMillis <= nowMillis() - settings.eventLagMillis }
        val last = visible.lastOrNull()?.event?.number ?: 0
        val matching = visible.map { it.event }
            .filter { it.number > number && it.number % settings.lostEventInterval != 0L }
        return CacheEventsBody(matching, last)
    }

    private fun add(prefix: String) {
        blocks[prefix] = Unit
        emit("stored", prefix)
        if (blocks.size > settings.cacheBlocks) {
            val oldest = blocks.keys.first()
            blocks.remove(oldest)
            emit("evicted", oldest)
        }
    }

    private fun emit(kind: String, prefix: String) {
        lastEvent++
        events.addLast(TimedEvent(nowMillis(), CacheEventBody(lastEvent, kind, prefix)))
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    private fun prefixes(inputs: LongArray): List<String> {
        val digest = MessageDigest.getInstance("SHA-256")
        return List(inputs.size / BLOCK_POSITIONS) { block ->
            val bytes = ByteBuffer.allocate(BLOCK_POSITIONS * Long.SIZE_BYTES)
            repeat(BLOCK_POSITIONS) { bytes.putLong(inputs[block * BLOCK_POSITIONS + it]) }
            digest.update(bytes.array())
            val copy = digest.clone() as MessageDigest
            copy.digest().take(HASH_BYTES).joinToString("") { "%02x".format(it) }
        }
    }

    private class TimedEvent(val atMillis: Long, val event: CacheEventBody)
}
