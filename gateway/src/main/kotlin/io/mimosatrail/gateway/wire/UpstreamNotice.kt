package io.mimosatrail.gateway.wire

import kotlin.time.Duration

/**
 * What an upstream says about itself in an answer, whatever the request was.
 *
 * [announcedRate] is the number of requests per second that it accepts from all entries together; null if it announces
 * no limit. [isLeaving] is true if it is shutting down and wants no new requests. [pause] is how long it wants nothing
 * from this entry, since it turned the request away; null if it does not say.
 */
data class UpstreamNotice(
    val announcedRate: Double? = null,
    val isLeaving: Boolean = false,
    val pause: Duration? = null,
)
