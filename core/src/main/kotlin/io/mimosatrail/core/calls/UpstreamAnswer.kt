package io.mimosatrail.core.calls

import kotlinx.serialization.Serializable

/** An upstream's HTTP response, stored so that it can be replayed to a caller that repeats the idempotency key. */
@Serializable
class UpstreamAnswer(val status: Int, val headers: List<AnswerHeader>, val body: ByteArray) {
    /** Approximate encoded size in a journal record, in bytes. */
    val size: Int get() = body.size + headers.sumOf { it.name.length + it.value.length + HEADER_OVERHEAD_BYTES }

    private companion object {
        const val HEADER_OVERHEAD_BYTES = 16
    }
}

/** A header of an [UpstreamAnswer]. */
@Serializable
data class AnswerHeader(val name: String, val value: String)
