package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Identifies a routing rule. */
@Serializable
@JvmInline
value class RuleId(val value: String) {
    override fun toString(): String = value
}
