package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Names a workspace, the owner of keys and limits. */
@Serializable
@JvmInline
value class WorkspaceId(val value: String) {
    override fun toString(): String = value
}
