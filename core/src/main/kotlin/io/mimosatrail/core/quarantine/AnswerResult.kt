package io.mimosatrail.core.quarantine

/** What a complete answer shows of the request that an upstream answered. */
enum class AnswerResult {
    /** The upstream ran it. */
    SUCCESS,

    /** The upstream had no use for it, and may not have looked at its prompt. */
    REJECTED,

    /** The upstream failed, and may not have run it. */
    FAILED,
}
