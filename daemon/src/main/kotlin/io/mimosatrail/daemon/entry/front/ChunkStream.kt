package io.mimosatrail.daemon.entry.front

import java.io.InputStream
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Body of a streamed answer: [write] adds a chunk, reads wait for one.
 *
 * [onClose] runs once when the server has read the end or the caller has gone.
 */
internal class ChunkStream(private val onClose: () -> Unit) : InputStream() {
    private val chunks = LinkedBlockingQueue<ByteArray>()
    private val closed = AtomicBoolean()
    private var current = ByteArray(0)
    private var offset = 0
    private var ended = false

    fun write(text: String) {
        if (text.isNotEmpty()) chunks.put(text.toByteArray())
    }

    /** Ends the body after what has been written. */
    fun end() = chunks.put(END)

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(buffer: ByteArray, start: Int, length: Int): Int {
        if (length == 0) return 0
        if (offset == current.size && !advance()) return -1
        val count = minOf(length, current.size - offset)
        current.copyInto(buffer, start, offset, offset + count)
        offset += count
        return count
    }

    override fun close() {
        if (closed.compareAndSet(false, true)) onClose()
    }

    private fun advance(): Boolean {
        if (ended) return false
        current = chunks.take()
        offset = 0
        ended = current === END
        return !ended
    }

    private companion object {
        const val BYTE_MASK = 0xff
        val END = ByteArray(0)
    }
}
