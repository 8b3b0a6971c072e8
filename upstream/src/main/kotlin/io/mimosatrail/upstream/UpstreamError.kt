package io.mimosatrail.upstream

/** Why a call of an upstream failed, and whether the upstream may have run it. */
sealed interface UpstreamError {
    val detail: String

    /** The upstream did not run the call and never will. [status] is the HTTP status of its refusal, or null. */
    data class NotRun(override val detail: String, val status: Int? = null) : UpstreamError

    /** The upstream may have run the call, or may still run it. */
    data class Uncertain(override val detail: String) : UpstreamError

    /** The upstream refused the call because of a conflict, such as an outdated fencing number. */
    data class Conflict(override val detail: String) : UpstreamError
}
