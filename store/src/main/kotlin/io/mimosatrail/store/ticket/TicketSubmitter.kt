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

private const val RACE_ATTEMPTS = 20
private val RACE_DELAY = 50.milliseconds

/**
 * Appends tickets to the configuration log. A ticket is accepted once its record is created; the record's key is
 * created only if absent, so that of two racing tickets one is checked again against the other.
 */
class TicketSubmitter(
    private val store: StoreCall,
    private val author: String,
    private val random: Random = Random.Default,
) {
    private val log = TicketLog(store)
    private val snapshots = SnapshotWriter(store)

    /** Submits [ticket]; the same [submission] may be submitted any number of times. */
    suspend fun submit(ticket: Ticket, submission: SubmissionId): Result<AcceptedTicket, SubmitError> {
        var known = Configuration()
        repeat(RACE_ATTEMPTS) {
            val read = log.read(known)
            known = read.configuration
            val record = ConfigRecord(known.revision.next(), submission, author, ticket)
            settled(read, record)?.let { return it }
            when (val end = RecordAppend(store, record, random).run()) {
                is AppendEnd.Accepted -> return accepted(known, record)
                is AppendEnd.Failed -> return Err(end.error)
                is AppendEnd.Lost -> delay(RACE_DELAY * random.nextDouble())
            }
        }
        return Err(SubmitError.Crowded(RACE_ATTEMPTS))
    }

    private suspend fun accepted(before: Configuration, record: ConfigRecord): Result<AcceptedTicket, SubmitError> {
        before.replay(record).onSuccess { snapshots.writeIfDue(it, record.submission) }
        return Ok(AcceptedTicket(record.revision))
    }

    /** The end of the submission where nothing needs to be written, null where [record] is to be appended. */
    private fun settled(read: LogRead, record: ConfigRecord): Result<AcceptedTicket, SubmitError>? {
        read.error?.let { return Err(SubmitError.Unreadable(it)) }
        val earlier = read.records.firstOrNull { it.submission == record.submission }
        if (earlier != null) return Ok(AcceptedTicket(earlier.revision, repeated = true))
        return read.configuration.apply(record.ticket)
            .mapBoth(success = { null }, failure = { refused(read.configuration, record.ticket, it) })
            ?: tooLarge(record)
    }

    private fun tooLarge(record: ConfigRecord): Result<AcceptedTicket, SubmitError>? {
        val size = RecordCodec.encode(record).size
        return if (size > MAX_VALUE_BYTES) Err(SubmitError.TooLarge(size, MAX_VALUE_BYTES)) else null
    }

    private fun refused(
        known: Configuration,
        ticket: Ticket,
        refusal: TicketRefusal,
    ): Result<AcceptedTicket, SubmitError> = if (known.isUnchangedSince(ticket)) {
        Ok(AcceptedTicket(known.revision, repeated = true))
    } else {
        Err(SubmitError.Refused(refusal))
    }
}
