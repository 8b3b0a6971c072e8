package io.mimosatrail.core.send

/**
 * How one send of a request to an upstream ended without a usable answer. [hasNotRun] is true if the upstream has
 * certainly not run the request.
 */
enum class SendEnd(val hasNotRun: Boolean) {
    /** No byte of the request left this process. */
    NOT_SENT(true),

    /** The upstream answered that it did not run the request. */
    REJECTED(true),

    /** Another upstream uses the address now, or the upstream no longer holds the requested layers. */
    MISDIRECTED(true),

    /** The connection ended before the answer was complete. */
    BROKEN(false),

    /** No answer came in time. */
    SILENT(false),

    /** The received bytes are not an answer to this request. */
    GARBLED(false),

    /** The upstream answered with an error of its own. */
    FAILED(false),
}
