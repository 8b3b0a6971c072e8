package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Identifies a caller's request in all processes that handle it. */
@Serializable
@JvmInline
value class RequestId(val value: String) {
    override fun toString(): String = value
}
