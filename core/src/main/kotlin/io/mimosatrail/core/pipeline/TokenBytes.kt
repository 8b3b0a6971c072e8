package io.mimosatrail.core.pipeline

import java.nio.ByteBuffer

/** Bytes of one token id on the wire. */
const val TOKEN_BYTES: Int = Int.SIZE_BYTES

/** Token ids as big-endian bytes. */
fun List<Int>.toTokenBytes(): ByteArray {
    val buffer = ByteBuffer.allocate(size * TOKEN_BYTES)
    forEach { buffer.putInt(it) }
    return buffer.array()
}

/** Token ids from big-endian bytes. */
fun ByteArray.toTokenIds(): List<Int> {
    val buffer = ByteBuffer.wrap(this)
    return List(size / TOKEN_BYTES) { buffer.getInt() }
}
