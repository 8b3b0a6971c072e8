package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Names a routing rule. */
@Serializable
@JvmInline
value class RuleId(val value: String) {
    override fun toString(): String = value
}
