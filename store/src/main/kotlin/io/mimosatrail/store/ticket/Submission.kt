package io.mimosatrail.store.ticket

import io.mimosatrail.core.config.Ticket
import io.mimosatrail.core.id.SubmissionId
import kotlinx.serialization.json.Json
import java.security.MessageDigest

/** Submission id of a ticket: the digest of its content, so that the same file always has the same id. */
fun submissionIdOf(ticket: Ticket): SubmissionId =
    SubmissionId(sha256Hex(Json.encodeToString(Ticket.serializer(), ticket).encodeToByteArray()))

/** Lower-case hex SHA-256 digest, as tickets hold for keys of workspaces. */
fun sha256Hex(bytes: ByteArray): String =
    MessageDigest.getInstance("SHA-256").digest(bytes).joinToString("") { "%02x".format(it) }
