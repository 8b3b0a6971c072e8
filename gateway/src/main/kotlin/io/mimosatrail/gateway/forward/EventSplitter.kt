package io.mimosatrail.gateway.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** One whole event of a stream. [id] is null where the event has none that can be read. */
internal class StreamEvent(val id: Long?, val bytes: ByteBuf)

/** Cuts a stream of server-sent events into whole events. Bytes of an unfinished event are held back. */
internal class EventSplitter {
    private var rest = ByteArray(INITIAL_BYTES)
    private var length = 0

    /** True where bytes of an unfinished event are held. */
    val hasRest: Boolean get() = length > 0

    /** Takes [part] and passes each event that is now whole to [onEvent], which takes over its bytes. */
    fun add(part: ByteBuf, onEvent: (StreamEvent) -> Unit) {
        append(part)
        var start = 0
        while (true) {
            val end = endOfEvent(start)
            if (end < 0) break
            onEvent(StreamEvent(idOf(start, end), Unpooled.copiedBuffer(rest, start, end - start)))
            start = end
        }
        rest.copyInto(rest, 0, start, length)
        length -= start
    }

    /** Drops the bytes of an unfinished event. */
    fun clear() {
        length = 0
    }

    private fun append(part: ByteBuf) {
        val added = part.readableBytes()
        if (length + added > rest.size) rest = rest.copyOf(maxOf(rest.size * 2, length + added))
        part.readBytes(rest, length, added)
        length += added
    }

    /** Index after the empty line that ends the event beginning at [start], or -1. */
    private fun endOfEvent(start: Int): Int {
        var isLineEmpty = false
        for (index in start until length) {
            when (rest[index]) {
                LINE_FEED -> if (isLineEmpty) return index + 1 else isLineEmpty = true
                CARRIAGE_RETURN -> Unit
                else -> isLineEmpty = false
            }
        }
        return -1
    }

    private fun idOf(start: Int, end: Int): Long? {
        var line = start
        while (line < end) {
            val next = (line until end).firstOrNull { rest[it] == LINE_FEED } ?: end
            if (isIdField(line, next)) return idIn(line, next)
            line = next + 1
        }
        return null
    }

    private fun idIn(line: Int, next: Int): Long? =
        String(rest, line + ID_FIELD.size, next - line - ID_FIELD.size).trim().toLongOrNull()

    private fun isIdField(from: Int, to: Int): Boolean =
        to - from > ID_FIELD.size && ID_FIELD.indices.all { rest[from + it] == ID_FIELD[it] }

    private companion object {
        const val INITIAL_BYTES = 1024
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        val ID_FIELD = "id:".toByteArray()
    }
}
