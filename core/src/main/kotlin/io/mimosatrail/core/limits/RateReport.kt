package io.mimosatrail.core.limits

import io.mimosatrail.core.id.InstanceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What one entry tells the others of an upstream with a limit: the announced rate [perSecond], null if the limit has
 * ended, how long ago it learned of it, and how many requests it recently sent there.
 */
@Serializable
data class RateReport(
    @SerialName("u") val upstream: InstanceId,
    @SerialName("r") val perSecond: Double?,
    @SerialName("a") val ageMillis: Long,
    @SerialName("n") val recentSends: Double,
)
