package io.mimosatrail.core.net

/** How an HTTP call ended. */
sealed interface HttpAnswer {
    /** The server answered with [status]; [tag] is the entity tag, null where there was none. */
    class Answered(val status: Int, val body: ByteArray, val tag: String? = null) : HttpAnswer

    /** No byte of the request was sent. */
    data class NotSent(val detail: String) : HttpAnswer

    /** The request was sent, at least in part, and no whole answer came. */
    data class Lost(val detail: String) : HttpAnswer
}
