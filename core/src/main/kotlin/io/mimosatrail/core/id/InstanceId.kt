package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Names one instance of the platform, for its whole life. */
@Serializable
@JvmInline
value class InstanceId(val value: String) {
    override fun toString(): String = value
}
