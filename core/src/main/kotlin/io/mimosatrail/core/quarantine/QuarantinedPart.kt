package io.mimosatrail.core.quarantine

import io.mimosatrail.core.id.PromptPartId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Requests whose prompt contains [part] are refused for another [remainingMillis]. */
@Serializable
data class QuarantinedPart(@SerialName("p") val part: PromptPartId, @SerialName("ms") val remainingMillis: Long)
