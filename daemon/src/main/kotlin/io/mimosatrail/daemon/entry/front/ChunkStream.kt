package io.mimosatrail.daemon.entry.front

import java.io.InputStream
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Body of a streamed response. [write] adds a chunk from any thread; the HTTP server's thread reads and blocks until
 * there is one.
 *
 * [onClose] is called once, when the server has read to the end or the caller has disconnected.
 */
internal class ChunkStream(private val onClose: () -> Unit) : InputStream() {
    private val chunks = LinkedBlockingQueue<ByteArray>()
    private val isClosed = AtomicBoolean()
    private var current = ByteArray(0)
    private var offset = 0
    private var hasEnded = false

    fun write(text: String) {
        if (text.isNotEmpty()) chunks.put(text.toByteArray())
    }

    /** Ends the body after the chunks written so far. */
    fun end() = chunks.put(END)

    override fun read(): Int {
        val buffer = ByteArray(1)
        return if (read(buffer, 0, 1) < 0) -1 else buffer[0].toInt() and BYTE_MASK
    }

    override fun read(buffer: ByteArray, start: Int, length: Int): Int {
        if (length == 0) return 0
        if (offset == current.size && !awaitChunk()) return -1
        val count = minOf(length, current.size - offset)
        current.copyInto(buffer, start, offset, offset + count)
        offset += count
        return count
    }

    override fun close() {
        if (isClosed.compareAndSet(false, true)) onClose()
    }

    /** Waits for the next chunk; false at the end of the body. */
    private fun awaitChunk(): Boolean {
        if (hasEnded) return false
        current = chunks.take()
        offset = 0
        hasEnded = current === END
        return !hasEnded
    }

    private companion object {
        const val BYTE_MASK = 0xff
        val END = ByteArray(0)
    }
}
