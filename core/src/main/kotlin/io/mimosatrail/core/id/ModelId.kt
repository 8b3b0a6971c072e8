package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Name of a model as it appears in callers' requests. */
@Serializable
@JvmInline
value class ModelId(val value: String) {
    override fun toString(): String = value
}
