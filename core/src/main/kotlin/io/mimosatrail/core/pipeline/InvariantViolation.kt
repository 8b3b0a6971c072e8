package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId

/** Violation of an invariant of token streams, detected at [peer], or null if no instance is known. */
data class InvariantViolation(val request: RequestId, val peer: InstanceId?, val detail: String)

/** Called for each violation. Production code counts and logs it; tests collect it or throw. */
typealias ViolationListener = (InvariantViolation) -> Unit
