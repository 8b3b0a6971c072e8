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

private const val WRITE_ATTEMPTS = 5
private val RETRY_DELAY = 50.milliseconds
private val ABSENT = StoreRevision(0)

/** How the creation of a record ended. */
internal sealed interface AppendEnd {
    data object Accepted : AppendEnd

    /** Another record stands at the revision. */
    data object Lost : AppendEnd

    data class Failed(val error: SubmitError) : AppendEnd
}

/**
 * Creates one record. A lost answer is resolved by creating it again: the key is created only if absent, and the
 * submission id shows whose record stands there.
 */
internal class RecordAppend(
    private val store: StoreCall,
    private val record: ConfigRecord,
    private val random: Random,
) {
    private val put = StoreCommand.Put(ConfigKeys.record(record.revision), RecordCodec.encode(record), ABSENT)
    private var uncertain = false
    private var detail = ""

    suspend fun run(): AppendEnd {
        repeat(WRITE_ATTEMPTS) { attempt ->
            when (val reply = store(put)) {
                is StoreReply.Written -> return AppendEnd.Accepted
                is StoreReply.Conflict -> return afterConflict(reply.current)
                else -> note(reply)
            }
            delay(RETRY_DELAY * (1 shl attempt) * (1 + random.nextDouble()))
        }
        return AppendEnd.Failed(failure())
    }

    private fun note(reply: StoreReply) {
        uncertain = uncertain || reply !is StoreReply.NotDone
        detail = reply.toString()
    }

    private fun failure() =
        if (uncertain) SubmitError.Uncertain(record.revision, detail) else SubmitError.Unavailable(detail)

    private fun afterConflict(current: StoredValue?): AppendEnd {
        val winner = current?.let { RecordCodec.decode(it.value).get() }
        return if (winner?.submission == record.submission) AppendEnd.Accepted else AppendEnd.Lost
    }
}
