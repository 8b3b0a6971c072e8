package io.mimosatrail.core.pipeline

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a stream completed without an error. */
@Serializable
enum class FinishReason {
    /** The model ended its answer. */
    @SerialName("stop")
    STOP,

    /** The answer reached the maximum number of tokens. */
    @SerialName("length")
    LENGTH,
}
