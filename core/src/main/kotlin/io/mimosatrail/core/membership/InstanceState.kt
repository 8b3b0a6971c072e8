package io.mimosatrail.core.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of an instance in the platform's list, which lags behind the actual state. */
@Serializable
enum class InstanceState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}
