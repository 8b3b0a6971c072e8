package io.mimosatrail.store.ticket

import com.github.michaelbull.result.get
import io.mimosatrail.core.config.ConfigRecord
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoredValue
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_WRITE_ATTEMPTS = 5
private val RETRY_DELAY = 50.milliseconds
private val ABSENT = StoreRevision(0)

/** Result of appending a record to the log. */
internal sealed interface AppendResult {
    data object Accepted : AppendResult

    /** The log already has another record at the revision. */
    data object RevisionTaken : AppendResult

    data class Failed(val error: SubmitError) : AppendResult
}

/**
 * Appends one record to the log. If the store's reply is lost, the write is repeated, which is safe because the key is
 * created only if it is absent. If the key exists, the submission id of the stored record shows whether an earlier
 * attempt of this submission wrote it.
 */
internal class RecordAppend(
    private val store: StoreCall,
    private val record: ConfigRecord,
    private val random: Random,
) {
    private val put = StoreCommand.Put(ConfigKeys.record(record.revision), RecordCodec.encode(record), ABSENT)
    private var mayBeWritten = false
    private var lastReply = ""

    suspend fun run(): AppendResult {
        repeat(MAX_WRITE_ATTEMPTS) { attempt ->
            when (val reply = store(put)) {
                is StoreReply.Written -> return AppendResult.Accepted
                is StoreReply.Conflict -> return onConflict(reply.current)
                else -> onFailedWrite(reply)
            }
            delay(RETRY_DELAY * (1 shl attempt) * (1 + random.nextDouble()))
        }
        return AppendResult.Failed(failure())
    }

    private fun onFailedWrite(reply: StoreReply) {
        mayBeWritten = mayBeWritten || reply !is StoreReply.NotDone
        lastReply = reply.toString()
    }

    private fun failure() =
        if (mayBeWritten) SubmitError.Uncertain(record.revision, lastReply) else SubmitError.Unavailable(lastReply)

    private fun onConflict(current: StoredValue?): AppendResult {
        val stored = current?.let { RecordCodec.decode(it.value).get() }
        return if (stored?.submission == record.submission) AppendResult.Accepted else AppendResult.RevisionTaken
    }
}
