package io.mimosatrail.core.outcome

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Reason for a refusal. Determines the HTTP status and whether a retry may help. */
@Serializable
enum class RefusalReason {
    @SerialName("malformed")
    MALFORMED,

    @SerialName("unauthenticated")
    UNAUTHENTICATED,

    @SerialName("not-found")
    NOT_FOUND,

    @SerialName("too-large")
    TOO_LARGE,

    @SerialName("conflict")
    CONFLICT,

    @SerialName("over-limit")
    OVER_LIMIT,

    @SerialName("busy")
    BUSY,

    @SerialName("draining")
    DRAINING,

    @SerialName("stale")
    STALE,

    @SerialName("no-upstream")
    NO_UPSTREAM,

    @SerialName("deadline")
    DEADLINE,

    @SerialName("store-unavailable")
    STORE_UNAVAILABLE,

    @SerialName("not-ready")
    NOT_READY,

    @SerialName("peer-lost")
    PEER_LOST,

    /** Requests like this one crashed several upstreams. */
    @SerialName("quarantined")
    QUARANTINED,

    @SerialName("upstream-error")
    UPSTREAM_ERROR,

    @SerialName("invariant")
    INVARIANT,
}
