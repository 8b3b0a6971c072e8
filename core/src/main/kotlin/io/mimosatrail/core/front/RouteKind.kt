package io.mimosatrail.core.front

/** What a route's requests allow. */
enum class RouteKind {
    /** A request may run any number of times. */
    IDEMPOTENT,

    /** A request runs at most once. */
    NON_IDEMPOTENT,

    /** The answer is a stream of events; a request runs at most once unless its stream may be resumed. */
    STREAMING,
}
