package io.mimosatrail.core.send

/** How one send of a request to an upstream ended without a usable answer. Only some ends show that it did not run. */
enum class SendEnd(val hasNotRun: Boolean) {
    /** No byte of the request left this process. */
    NOT_SENT(true),

    /** The upstream said that it did not run the request. */
    REJECTED(true),

    /** Another upstream has the address, or the upstream no longer holds its layers. */
    MISDIRECTED(true),

    /** The connection ended before the answer was complete. */
    BROKEN(false),

    /** No answer came in time. */
    SILENT(false),

    /** Bytes came that are no answer to this request. */
    GARBLED(false),

    /** The upstream answered with a failure of its own. */
    FAILED(false),
}
