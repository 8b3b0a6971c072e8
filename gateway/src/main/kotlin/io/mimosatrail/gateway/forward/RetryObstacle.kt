package io.mimosatrail.gateway.forward

/** Reason why a request whose send failed is not sent again. */
internal enum class RetryObstacle {
    /** It may have run, or it was sent as often as allowed. */
    SENDS,

    /** Too little time is left. */
    DEADLINE,

    /** Its answer has begun and cannot be continued by another upstream. */
    NOT_RESUMABLE,

    /** Upstreams are suspected to crash under its content. */
    SUSPECTED_CONTENT,

    /** The retry budget of the service is used up. */
    BUDGET,
}
