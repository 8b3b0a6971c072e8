package io.mimosatrail.store.ticket

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.onSuccess
import io.mimosatrail.core.config.ConfigRecord
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.config.Ticket
import io.mimosatrail.core.config.TicketRefusal
import io.mimosatrail.core.config.apply
import io.mimosatrail.core.config.isUnchangedSince
import io.mimosatrail.core.config.replay
import io.mimosatrail.core.id.SubmissionId
import io.mimosatrail.core.store.StoreCall
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_APPEND_ATTEMPTS = 20
private val MAX_RETRY_DELAY = 50.milliseconds

/**
 * Appends tickets to the configuration log. A ticket is accepted once its record is in the log.
 *
 * The key of a record is created only if it is absent. If two tickets are submitted concurrently, one of them finds its
 * revision taken and is checked again against the configuration that includes the other.
 */
class TicketSubmitter(
    private val store: StoreCall,
    private val author: String,
    private val random: Random = Random.Default,
) {
    private val log = TicketLog(store)
    private val snapshots = SnapshotWriter(store)

    /** Submits [ticket]. Submitting it again with the same [submission] id has no further effect. */
    suspend fun submit(ticket: Ticket, submission: SubmissionId): Result<AcceptedTicket, SubmitError> {
        var known = Configuration()
        repeat(MAX_APPEND_ATTEMPTS) {
            val read = log.read(known)
            known = read.configuration
            val record = ConfigRecord(known.revision.next(), submission, author, ticket)
            resultWithoutWrite(read, record)?.let { return it }
            when (val result = RecordAppend(store, record, random).run()) {
                is AppendResult.Accepted -> return onAccepted(known, record)
                is AppendResult.Failed -> return Err(result.error)
                is AppendResult.RevisionTaken -> delay(MAX_RETRY_DELAY * random.nextDouble())
            }
        }
        return Err(SubmitError.TooManyConflicts(MAX_APPEND_ATTEMPTS))
    }

    private suspend fun onAccepted(before: Configuration, record: ConfigRecord): Result<AcceptedTicket, SubmitError> {
        before.replay(record).onSuccess { snapshots.writeIfDue(it, record.submission) }
        return Ok(AcceptedTicket(record.revision))
    }

    /** The result if nothing has to be written, or null if [record] has to be appended. */
    private fun resultWithoutWrite(read: LogRead, record: ConfigRecord): Result<AcceptedTicket, SubmitError>? {
        read.error?.let { return Err(SubmitError.Unreadable(it)) }
        val earlier = read.records.firstOrNull { it.submission == record.submission }
        if (earlier != null) return Ok(AcceptedTicket(earlier.revision, repeated = true))
        return read.configuration.apply(record.ticket)
            .mapBoth(success = { null }, failure = { resultOfRefusal(read.configuration, record.ticket, it) })
            ?: tooLargeError(record)
    }

    private fun tooLargeError(record: ConfigRecord): Result<AcceptedTicket, SubmitError>? {
        val size = RecordCodec.encode(record).size
        return if (size > MAX_VALUE_BYTES) Err(SubmitError.TooLarge(size, MAX_VALUE_BYTES)) else null
    }

    /**
     * The result for a ticket that [known] refuses. A ticket that is already in force is refused too, because it is not
     * newer than itself, but counts as accepted before. Its submission id is not found in the log if a snapshot has
     * replaced its record.
     */
    private fun resultOfRefusal(
        known: Configuration,
        ticket: Ticket,
        refusal: TicketRefusal,
    ): Result<AcceptedTicket, SubmitError> = if (known.isUnchangedSince(ticket)) {
        Ok(AcceptedTicket(known.revision, repeated = true))
    } else {
        Err(SubmitError.Refused(refusal))
    }
}
