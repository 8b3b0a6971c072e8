package io.mimosatrail.standins.engine

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Positions of one cached block. */
internal const val BLOCK_POSITIONS = 16
private const val HASH_BYTES = 8
private const val MAX_EVENTS = 1_000

/**
 * Prompt prefixes in blocks of [BLOCK_POSITIONS], the least recently used going first, and the events that tell of
 * them. A prefix is named by the first 8 bytes of the SHA-256 of its inputs, in hex: 8 bytes a position, big endian.
 */
internal class PrefixCache(private val settings: EngineSettings, private val nowMillis: () -> Long) {
    private val blocks = LinkedHashMap<String, Unit>(16, 0.75f, true)
    private val events = ArrayDeque<TimedEvent>()
    private var lastEvent = 0L

    /** Stores the prefixes of [inputs] and answers how many leading positions were there before. */
    @Synchronized
    fun store(inputs: LongArray): Int {
        var hit = 0
        var missed = false
        prefixes(inputs).forEachIndexed { index, prefix ->
            missed = missed || blocks[prefix] == null
            if (missed) add(prefix) else hit = (index + 1) * BLOCK_POSITIONS
        }
        return hit
    }

    @Synchronized
    fun clear() = blocks.clear()

    @Synchronized
    fun eventsAfter(number: Long): CacheEventsBody {
        val shown = events.filter { it.atMillis <= nowMillis() - settings.eventLagMillis }
        val last = shown.lastOrNull()?.event?.number ?: 0
        val found = shown.map { it.event }.filter { it.number > number && it.number % settings.eventGap != 0L }
        return CacheEventsBody(found, last)
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
