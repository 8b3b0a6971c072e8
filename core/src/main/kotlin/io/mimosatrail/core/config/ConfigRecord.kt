package io.mimosatrail.core.config

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.SubmissionId
import kotlinx.serialization.Serializable

/** An accepted ticket as stored in the configuration log. */
@Serializable
data class ConfigRecord(
    val revision: ConfigRevision,
    val submission: SubmissionId,
    val author: String,
    val ticket: Ticket,
)
