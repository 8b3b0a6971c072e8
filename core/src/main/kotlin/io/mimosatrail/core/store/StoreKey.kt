package io.mimosatrail.core.store

import kotlinx.serialization.Serializable

/** Key in the platform's store; parts are separated by slashes. */
@Serializable
@JvmInline
value class StoreKey(val value: String) {
    operator fun div(part: String): StoreKey = StoreKey("$value/$part")

    override fun toString(): String = value
}
