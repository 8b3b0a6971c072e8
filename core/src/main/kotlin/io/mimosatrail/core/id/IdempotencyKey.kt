package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Key under which a caller repeats a non-idempotent call; scoped to workspace and service. */
@Serializable
@JvmInline
value class IdempotencyKey(val value: String) {
    override fun toString(): String = value
}
