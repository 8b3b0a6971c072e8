package io.mimosatrail.core.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the choice of chains for a pool favours: high throughput, or a short recovery after the loss of a stage. */
@Serializable
enum class PoolPreference {
    @SerialName("throughput")
    THROUGHPUT,

    @SerialName("recovery")
    RECOVERY,
}
