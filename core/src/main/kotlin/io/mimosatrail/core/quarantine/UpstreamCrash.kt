package io.mimosatrail.core.quarantine

import io.mimosatrail.core.id.InstanceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The end of the process of [upstream] that started at [startedMillis], in Unix milliseconds. */
@Serializable
data class UpstreamCrash(@SerialName("u") val upstream: InstanceId, @SerialName("b") val startedMillis: Long)
