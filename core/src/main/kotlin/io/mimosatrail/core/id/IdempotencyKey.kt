package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Key that a caller sends with a non-idempotent call and its repeats; unique per workspace and service. */
@Serializable
@JvmInline
value class IdempotencyKey(val value: String) {
    override fun toString(): String = value
}
