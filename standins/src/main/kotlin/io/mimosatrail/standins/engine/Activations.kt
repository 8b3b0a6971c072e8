package io.mimosatrail.standins.engine

import java.nio.ByteBuffer
import java.util.Base64

/** Encodes the longs in base64, 8 bytes each, big endian. */
internal fun LongArray.toBase64(): String {
    val bytes = ByteBuffer.allocate(size * Long.SIZE_BYTES)
    forEach { bytes.putLong(it) }
    return Base64.getEncoder().encodeToString(bytes.array())
}

/** Decodes longs written by [toBase64]. Null if this is no base64 text or its length no multiple of 8 bytes. */
internal fun String.toLongs(): LongArray? {
    val bytes = try {
        Base64.getDecoder().decode(this)
    } catch (e: IllegalArgumentException) {
        return null
    }
    if (bytes.size % Long.SIZE_BYTES != 0) return null
    val buffer = ByteBuffer.wrap(bytes)
    return LongArray(bytes.size / Long.SIZE_BYTES) { buffer.getLong() }
}
