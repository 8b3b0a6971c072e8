package io.mimosatrail.core.pipeline

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a stream ended whole. */
@Serializable
enum class FinishReason {
    @SerialName("stop")
    STOP,

    @SerialName("length")
    LENGTH,
}
