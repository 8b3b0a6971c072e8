package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Kind of accelerator that an upstream runs on. */
@Serializable
@JvmInline
value class AcceleratorKind(val value: String) {
    override fun toString(): String = value
}
