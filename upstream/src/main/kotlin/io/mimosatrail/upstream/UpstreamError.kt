package io.mimosatrail.upstream

/** Why a call of an upstream gave no answer. */
sealed interface UpstreamError {
    val detail: String

    /** The upstream did not act on the call and never will. */
    data class NotRun(override val detail: String, val status: Int? = null) : UpstreamError

    /** The upstream may have acted, or may still. */
    data class Uncertain(override val detail: String) : UpstreamError

    /** The upstream refused the call with a conflict, such as an old fencing number. */
    data class Conflict(override val detail: String) : UpstreamError
}
