package io.mimosatrail.core.retry

/** What happens to a request if a retry of it is denied; the more is lost, the more of the budget the retry may use. */
enum class RetryPriority {
    /** The request is refused, or waits for the answer of another send. */
    NORMAL,

    /** An answer that has begun is cut, as no other send of the request is open. */
    LAST_RESORT,
}
