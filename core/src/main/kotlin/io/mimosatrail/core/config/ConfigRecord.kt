package io.mimosatrail.core.config

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.SubmissionId
import kotlinx.serialization.Serializable

/** An accepted ticket as the configuration log keeps it. */
@Serializable
data class ConfigRecord(
    val revision: ConfigRevision,
    val submission: SubmissionId,
    val author: String,
    val ticket: Ticket,
)
