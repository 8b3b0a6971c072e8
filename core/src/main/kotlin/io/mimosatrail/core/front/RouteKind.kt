package io.mimosatrail.core.front

/** Whether the requests of a route may run more than once. */
enum class RouteKind {
    /** A request may run any number of times. */
    IDEMPOTENT,

    /** A request runs at most once. */
    NON_IDEMPOTENT,

    /** The answer is a stream of events. A request runs at most once unless the route is resumable. */
    STREAMING,
}
