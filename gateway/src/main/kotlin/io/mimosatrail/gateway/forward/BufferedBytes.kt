package io.mimosatrail.gateway.forward

/** Counts the bytes of answers that are collected, over all requests. Confined to the event loop. */
internal class BufferedBytes {
    private var total = 0L

    /** True if an answer can be collected further. */
    val hasRoom: Boolean get() = total < MAX_BYTES

    fun add(bytes: Int) {
        total += bytes
    }

    fun remove(bytes: Int) {
        total -= bytes
    }

    private companion object {
        /** A tenth of the heap of the smallest entry. */
        const val MAX_BYTES = 9L * 1024 * 1024
    }
}
