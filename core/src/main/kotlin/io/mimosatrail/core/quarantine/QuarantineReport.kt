package io.mimosatrail.core.quarantine

import io.mimosatrail.core.id.PromptPartId
import io.mimosatrail.core.id.RequestFingerprint
import io.mimosatrail.core.id.ServiceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What one entry tells the others: the [runs] that ended with the loss of their upstreams, its own [uses] of the
 * contents of these runs, and what it refuses. Times are ages, since clocks differ.
 */
@Serializable
data class QuarantineReport(
    @SerialName("l") val runs: List<ReportedRun> = emptyList(),
    @SerialName("u") val uses: List<ReportedUse> = emptyList(),
    @SerialName("q") val refused: List<ReportedRefusal> = emptyList(),
)

/**
 * A run of [request] for [service], sent [sentMillisAgo], ended with [crash], which happened [lostMillisAgo]. [parts]
 * are the parts of its prompt that may have caused it. Nothing shows yet that the upstream was lost if it
 * [isOnlySilent].
 */
@Serializable
data class ReportedRun(
    @SerialName("f") val request: RequestFingerprint,
    @SerialName("p") val parts: List<PromptPartId>,
    @SerialName("v") val service: ServiceId?,
    @SerialName("c") val crash: UpstreamCrash,
    @SerialName("s") val sentMillisAgo: Long,
    @SerialName("e") val lostMillisAgo: Long,
    @SerialName("o") val isOnlySilent: Boolean = false,
)

/**
 * The sender has recently sent [sent] requests with [content], which is the text of a [Content], and upstreams survived
 * [survived] of them. It was sound [survivedMillisAgo]; null if nothing shows that recently.
 */
@Serializable
data class ReportedUse(
    @SerialName("c") val content: String,
    @SerialName("s") val sent: Int,
    @SerialName("a") val survived: Int,
    @SerialName("e") val survivedMillisAgo: Long? = null,
)

/**
 * Requests of [pattern], which is the text of a [RequestPattern], are refused for another [remainingMillis]. Upstreams
 * were last lost under them [lostMillisAgo]; [crashes] are those losses, reported only at first.
 */
@Serializable
data class ReportedRefusal(
    @SerialName("c") val pattern: String,
    @SerialName("ms") val remainingMillis: Long,
    @SerialName("e") val lostMillisAgo: Long,
    @SerialName("u") val crashes: List<UpstreamCrash> = emptyList(),
)
