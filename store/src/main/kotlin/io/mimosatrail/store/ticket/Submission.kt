package io.mimosatrail.store.ticket

import io.mimosatrail.core.config.Ticket
import io.mimosatrail.core.id.SubmissionId
import kotlinx.serialization.json.Json
import java.security.MessageDigest

/** The submission id of a ticket is a digest of its content, so that submitting the same content again is detected. */
fun submissionIdOf(ticket: Ticket): SubmissionId =
    SubmissionId(sha256Hex(Json.encodeToString(Ticket.serializer(), ticket).encodeToByteArray()))

/** Lower-case hex SHA-256 digest of [bytes]. Tickets contain workspace keys in this form. */
fun sha256Hex(bytes: ByteArray): String =
    MessageDigest.getInstance("SHA-256").digest(bytes).joinToString("") { "%02x".format(it) }
