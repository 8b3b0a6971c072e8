package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Names a place: one data centre of a region. */
@Serializable
@JvmInline
value class PlaceId(val value: String) {
    override fun toString(): String = value
}
