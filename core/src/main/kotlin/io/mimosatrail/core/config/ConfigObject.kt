package io.mimosatrail.core.config

import io.mimosatrail.core.id.RuleId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.WorkspaceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Identifies one configured object. Pools and plain services share one namespace of ids. */
@Serializable
data class ConfigObject(val kind: ConfigObjectKind, val id: String) {
    override fun toString(): String = "${kind.label} $id"
}

/** Kind of a configured object. */
@Serializable
enum class ConfigObjectKind(val label: String) {
    @SerialName("workspace")
    WORKSPACE("workspace"),

    @SerialName("service")
    SERVICE("service"),

    @SerialName("rule")
    RULE("rule"),
}

internal fun WorkspaceId.toConfigObject() = ConfigObject(ConfigObjectKind.WORKSPACE, value)

internal fun ServiceId.toConfigObject() = ConfigObject(ConfigObjectKind.SERVICE, value)

internal fun RuleId.toConfigObject() = ConfigObject(ConfigObjectKind.RULE, value)
