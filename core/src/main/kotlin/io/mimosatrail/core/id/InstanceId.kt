package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Identifies an instance of the platform for its whole lifetime. */
@Serializable
@JvmInline
value class InstanceId(val value: String) {
    override fun toString(): String = value
}
