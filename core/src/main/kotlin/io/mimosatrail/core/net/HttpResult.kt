package io.mimosatrail.core.net

/** Result of an HTTP call. */
sealed interface HttpResult {
    /**
     * The server responded with [status]. [tag] is the value of the ETag header, or null if there was none. [headers]
     * are the headers by their lower-case names; empty if the client does not collect them.
     */
    class Answered(
        val status: Int,
        val body: ByteArray,
        val tag: String? = null,
        val headers: Map<String, String> = emptyMap(),
    ) : HttpResult

    /** No byte of the request was sent. */
    data class NotSent(val detail: String) : HttpResult

    /** The request was sent, at least in part, and no complete response was received. */
    data class Lost(val detail: String) : HttpResult
}
