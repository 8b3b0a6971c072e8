package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Names a model as callers ask for it. */
@Serializable
@JvmInline
value class ModelId(val value: String) {
    override fun toString(): String = value
}
