package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Names one caller request across all processes it touches. */
@Serializable
@JvmInline
value class RequestId(val value: String) {
    override fun toString(): String = value
}
