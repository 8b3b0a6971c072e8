package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Identifies a workspace, the owner of API keys and limits. */
@Serializable
@JvmInline
value class WorkspaceId(val value: String) {
    override fun toString(): String = value
}
