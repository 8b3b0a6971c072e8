package io.mimosatrail.core.pipeline

import java.nio.ByteBuffer

/** Size of one token id on the wire, in bytes. */
const val TOKEN_BYTES: Int = Int.SIZE_BYTES

/** Encodes token ids as big-endian 32-bit integers. */
fun List<Int>.toTokenBytes(): ByteArray {
    val buffer = ByteBuffer.allocate(size * TOKEN_BYTES)
    forEach { buffer.putInt(it) }
    return buffer.array()
}

/** Decodes token ids from big-endian 32-bit integers. */
fun ByteArray.toTokenIds(): List<Int> {
    val buffer = ByteBuffer.wrap(this)
    return List(size / TOKEN_BYTES) { buffer.getInt() }
}
