package io.mimosatrail.core.outcome

import io.mimosatrail.core.id.InstanceId
import kotlinx.serialization.Serializable

/**
 * A refused or failed request, with the [step] and [peer] at which it arose.
 *
 * [retryAfterMillis] is null where a retry of the same request cannot help.
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
