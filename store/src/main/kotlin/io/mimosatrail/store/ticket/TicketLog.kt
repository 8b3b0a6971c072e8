package io.mimosatrail.store.ticket

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.mimosatrail.core.config.ConfigRecord
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.config.replay
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoredValue

/**
 * What was read of the log: [configuration] is as far as it could be read, [records] were read one by one on the way,
 * [error] says why reading stopped before the end. [seen] is the newest write that was read, from which a watch can
 * go on.
 */
class LogRead(
    val configuration: Configuration,
    val records: List<ConfigRecord>,
    val error: LogError? = null,
    val seen: StoreRevision = StoreRevision(0),
)

private const val PAGE_RECORDS = 50
private const val SNAPSHOT_ATTEMPTS = 3

/** Reads the configuration from the store: the newest snapshot, and the records that follow it. */
class TicketLog(private val store: StoreCall) {
    private val snapshots = SnapshotStore(store)

    /** Reads everything after [known]. A start reads the snapshot first, a follower only where records are gone. */
    suspend fun read(known: Configuration): LogRead {
        var read = if (known.revision.value == 0L) gap(known, emptyList()) else readRecords(known)
        repeat(SNAPSHOT_ATTEMPTS) {
            if (read.error !is LogError.Gap) return read
            read = readFromSnapshot(read)
        }
        return read
    }

    /** The last [limit] records that the log still holds, oldest first. */
    suspend fun recent(limit: Int): Result<List<ConfigRecord>, LogError> {
        val read = read(Configuration())
        read.error?.let { return Err(it) }
        val before = ConfigRevision((read.configuration.revision.value - limit).coerceAtLeast(0))
        val list = StoreCommand.List(ConfigKeys.LOG, ConfigKeys.record(before), limit)
        return when (val reply = store(list)) {
            is StoreReply.Values -> Ok(reply.values.mapNotNull { RecordCodec.decode(it.value).get() })
            else -> Err(LogError.Unavailable(reply.toString()))
        }
    }

    private suspend fun readFromSnapshot(read: LogRead): LogRead {
        val known = read.configuration
        val base = snapshots.newest(known).getOrElse { return LogRead(known, read.records, it) }
        val rest = readRecords(base.configuration)
        val earlier = read.records.takeIf { base.configuration.revision == known.revision }.orEmpty()
        return LogRead(rest.configuration, earlier + rest.records, rest.error, maxOf(base.seen, rest.seen))
    }

    private suspend fun readRecords(known: Configuration): LogRead {
        var configuration = known
        var seen = StoreRevision(0)
        val records = mutableListOf<ConfigRecord>()
        while (true) {
            val page = page(configuration).getOrElse { return LogRead(configuration, records, it) }
            for (value in page.values) {
                seen = maxOf(seen, value.revision)
                val record = recordOf(value, configuration).getOrElse {
                    return LogRead(configuration, records, it, seen)
                }
                val next = configuration.replay(record)
                configuration = next.getOrElse { return gap(configuration, records) }
                records += record
            }
            if (!page.more) return LogRead(configuration, records, seen = seen)
        }
    }

    private suspend fun page(known: Configuration): Result<StoreReply.Values, LogError> {
        val list = StoreCommand.List(ConfigKeys.LOG, ConfigKeys.record(known.revision), PAGE_RECORDS)
        return when (val reply = store(list)) {
            is StoreReply.Values -> Ok(reply)
            else -> Err(LogError.Unavailable(reply.toString()))
        }
    }

    private fun recordOf(value: StoredValue, known: Configuration): Result<ConfigRecord, LogError> = when {
        value.isTrimmed || value.key != ConfigKeys.record(known.revision.next()) -> Err(LogError.Gap(known.revision))
        else -> {
            val record = RecordCodec.decode(value.value)
            record.getOrElse { return Err(LogError.Unreadable(known.revision, it)) }.let { Ok(it) }
        }
    }

    private fun gap(known: Configuration, records: List<ConfigRecord>) =
        LogRead(known, records, LogError.Gap(known.revision))
}

/** A record that a snapshot has replaced; its key stays, so that its revision can't be written again. */
internal val StoredValue.isTrimmed: Boolean get() = value.isEmpty()
