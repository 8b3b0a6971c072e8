package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Identifies a place, which is one data centre of a region. */
@Serializable
@JvmInline
value class PlaceId(val value: String) {
    override fun toString(): String = value
}
