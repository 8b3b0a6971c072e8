package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId

/** An invariant of the token path that did not hold at [peer]. */
data class InvariantViolation(val request: RequestId, val peer: InstanceId?, val detail: String)

/** Hears of violations: counts them in production and throws in tests. */
typealias ViolationListener = (InvariantViolation) -> Unit
