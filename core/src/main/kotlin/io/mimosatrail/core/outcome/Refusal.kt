package io.mimosatrail.core.outcome

import io.mimosatrail.core.id.InstanceId
import kotlinx.serialization.Serializable

/**
 * Why a request was refused or failed.
 *
 * [step] and [peer] are the processing step and the instance at which the error arose; [peer] is null if no instance
 * can be named. [retryAfterMillis] is null if retrying the same request cannot help.
 */
@Serializable
data class Refusal(
    val outcome: Outcome,
    val reason: RefusalReason,
    val step: Step,
    val peer: InstanceId?,
    val detail: String,
    val retryAfterMillis: Long? = null,
)
