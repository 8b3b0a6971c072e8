package io.mimosatrail.core.store

import kotlinx.serialization.Serializable

/** Key in the platform's store; its segments are separated by slashes. */
@Serializable
@JvmInline
value class StoreKey(val value: String) {
    operator fun div(segment: String): StoreKey = StoreKey("$value/$segment")

    override fun toString(): String = value
}
