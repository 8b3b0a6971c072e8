package io.mimosatrail.core.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a process of the system does. */
@Serializable
enum class InstanceRole {
    @SerialName("entry")
    ENTRY,

    @SerialName("sidecar")
    SIDECAR,
}
