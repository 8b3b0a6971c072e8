package io.mimosatrail.core.calls

import kotlinx.serialization.Serializable

/** An upstream's answer, kept to replay it to a caller that repeats its key. */
@Serializable
class KeptAnswer(val status: Int, val headers: List<KeptHeader>, val body: ByteArray) {
    /** Approximate size in a journal record, in bytes. */
    val size: Int get() = body.size + headers.sumOf { it.name.length + it.value.length + HEADER_OVERHEAD_BYTES }

    private companion object {
        const val HEADER_OVERHEAD_BYTES = 16
    }
}

/** One header of a [KeptAnswer]. */
@Serializable
data class KeptHeader(val name: String, val value: String)
