package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Identifies a part of a prompt. Requests whose prompts share a part carry the same id. */
@Serializable
@JvmInline
value class PromptPartId(val value: String) {
    override fun toString(): String = value
}
