package io.mimosatrail.gateway.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * One complete server-sent event. [id] is null if the event has no id or one that is not a number. [hasData] is false
 * for a comment, which callers skip.
 */
internal class StreamEvent(val id: Long?, val hasData: Boolean, val bytes: ByteBuf)

/** Splits a stream of server-sent events into complete events. Buffers the bytes of an incomplete event. */
internal class EventSplitter {
    private var buffer = ByteArray(INITIAL_BYTES)
    private var length = 0

    /** True while bytes of an incomplete event are buffered. */
    val hasIncompleteEvent: Boolean get() = length > 0

    /** True if the incomplete event is longer than any event of an engine, so that the stream can't be one. */
    val isOverlong: Boolean get() = length > MAX_EVENT_BYTES

    /** Reads [bytes] and passes each event that is now complete to [onEvent], which takes ownership of its bytes. */
    fun add(bytes: ByteBuf, onEvent: (StreamEvent) -> Unit) {
        append(bytes)
        var start = 0
        while (true) {
            val end = endOfEvent(start)
            if (end < 0) break
            val hasData = findField(DATA_FIELD, start, end) != null
            onEvent(StreamEvent(idOf(start, end), hasData, Unpooled.copiedBuffer(buffer, start, end - start)))
            start = end
        }
        buffer.copyInto(buffer, 0, start, length)
        length -= start
    }

    /** Discards the bytes of an incomplete event. */
    fun clear() {
        length = 0
    }

    private fun append(bytes: ByteBuf) {
        val added = bytes.readableBytes()
        if (length + added > buffer.size) buffer = buffer.copyOf(maxOf(buffer.size * 2, length + added))
        bytes.readBytes(buffer, length, added)
        length += added
    }

    /** Index after the empty line that ends the event at [start], or -1 if the event is incomplete. */
    private fun endOfEvent(start: Int): Int {
        var isLineEmpty = false
        for (index in start until length) {
            when (buffer[index]) {
                LINE_FEED -> if (isLineEmpty) return index + 1 else isLineEmpty = true
                CARRIAGE_RETURN -> Unit
                else -> isLineEmpty = false
            }
        }
        return -1
    }

    private fun idOf(start: Int, end: Int): Long? = findField(ID_FIELD, start, end)?.let { line ->
        val value = line.first + ID_FIELD.size
        String(buffer, value, line.last + 1 - value).trim().toLongOrNull()
    }

    /** The first line of the event from [start] to [end] that begins with [field]; null if none does. */
    private fun findField(field: ByteArray, start: Int, end: Int): IntRange? {
        var line = start
        while (line < end) {
            val next = (line until end).firstOrNull { buffer[it] == LINE_FEED } ?: end
            if (next - line > field.size && field.indices.all { buffer[line + it] == field[it] }) return line until next
            line = next + 1
        }
        return null
    }

    private companion object {
        const val INITIAL_BYTES = 1024

        /** An event holds a few tokens; the limit leaves room for several hundred with their metadata. */
        const val MAX_EVENT_BYTES = 64 * 1024
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        val ID_FIELD = "id:".toByteArray()
        val DATA_FIELD = "data:".toByteArray()
    }
}
