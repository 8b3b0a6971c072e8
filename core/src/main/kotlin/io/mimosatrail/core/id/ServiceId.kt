package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Identifies a service, which is a model pool or a plain service. */
@Serializable
@JvmInline
value class ServiceId(val value: String) {
    override fun toString(): String = value
}
