package io.mimosatrail.core.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Role of an instance: an entry accepts requests of callers, a sidecar serves one upstream. */
@Serializable
enum class InstanceRole {
    @SerialName("entry")
    ENTRY,

    @SerialName("sidecar")
    SIDECAR,
}
