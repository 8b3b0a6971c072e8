package io.mimosatrail.core.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the chains of a pool are chosen for. */
@Serializable
enum class PoolPreference {
    @SerialName("throughput")
    THROUGHPUT,

    @SerialName("recovery")
    RECOVERY,
}
