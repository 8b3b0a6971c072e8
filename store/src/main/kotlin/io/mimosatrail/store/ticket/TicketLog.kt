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
 * Result of reading the log.
 *
 * @property configuration the newest configuration that could be read
 * @property records the records that were applied one by one, in order; a snapshot replaces those before it
 * @property error why reading stopped before the end of the log, or null if the end was reached
 * @property storeRevision store revision of the newest value that was read; a watch can start after it
 */
class LogRead(
    val configuration: Configuration,
    val records: List<ConfigRecord>,
    val error: LogError? = null,
    val storeRevision: StoreRevision = StoreRevision(0),
)

private const val RECORDS_PER_PAGE = 50
private const val MAX_SNAPSHOT_READS = 3

/** Reads the configuration from the store: the newest snapshot and the records after it. */
class TicketLog(private val store: StoreCall) {
    private val snapshots = SnapshotStore(store)

    /**
     * Reads everything after [known]. If [known] is at revision 0, the snapshot is read first; otherwise it is
     * read only if records after [known] are missing.
     */
    suspend fun read(known: Configuration): LogRead {
        var read = if (known.revision.value == 0L) gapAfter(known, emptyList()) else readRecords(known)
        repeat(MAX_SNAPSHOT_READS) {
            if (read.error !is LogError.Gap) return read
            read = readFromSnapshot(read)
        }
        return read
    }

    /** Reads up to [limit] of the newest records that were not replaced by a snapshot, oldest first. */
    suspend fun readRecent(limit: Int): Result<List<ConfigRecord>, LogError> {
        val read = read(Configuration())
        read.error?.let { return Err(it) }
        val after = ConfigRevision((read.configuration.revision.value - limit).coerceAtLeast(0))
        val list = StoreCommand.List(ConfigKeys.LOG, ConfigKeys.record(after), limit)
        return when (val reply = store(list)) {
            is StoreReply.Values -> Ok(reply.values.mapNotNull { RecordCodec.decode(it.value).get() })
            else -> Err(LogError.Unavailable(reply.toString()))
        }
    }

    private suspend fun readFromSnapshot(read: LogRead): LogRead {
        val known = read.configuration
        val snapshot = snapshots.readNewest(known).getOrElse { return LogRead(known, read.records, it) }
        val later = readRecords(snapshot.configuration)
        val earlier = read.records.takeIf { snapshot.configuration.revision == known.revision }.orEmpty()
        return LogRead(
            later.configuration,
            earlier + later.records,
            later.error,
            maxOf(snapshot.storeRevision, later.storeRevision),
        )
    }

    private suspend fun readRecords(known: Configuration): LogRead {
        var configuration = known
        var storeRevision = StoreRevision(0)
        val records = mutableListOf<ConfigRecord>()
        while (true) {
            val page = readPage(configuration).getOrElse { return LogRead(configuration, records, it) }
            for (value in page.values) {
                storeRevision = maxOf(storeRevision, value.revision)
                val record = decodeNext(value, configuration).getOrElse {
                    return LogRead(configuration, records, it, storeRevision)
                }
                val next = configuration.replay(record)
                configuration = next.getOrElse { return gapAfter(configuration, records) }
                records += record
            }
            if (!page.more) return LogRead(configuration, records, storeRevision = storeRevision)
        }
    }

    private suspend fun readPage(known: Configuration): Result<StoreReply.Values, LogError> {
        val list = StoreCommand.List(ConfigKeys.LOG, ConfigKeys.record(known.revision), RECORDS_PER_PAGE)
        return when (val reply = store(list)) {
            is StoreReply.Values -> Ok(reply)
            else -> Err(LogError.Unavailable(reply.toString()))
        }
    }

    /** Decodes [value], which must be the record of the revision after [known]. */
    private fun decodeNext(value: StoredValue, known: Configuration): Result<ConfigRecord, LogError> = when {
        value.isTrimmed || value.key != ConfigKeys.record(known.revision.next()) -> Err(LogError.Gap(known.revision))
        else -> {
            val record = RecordCodec.decode(value.value)
            record.getOrElse { return Err(LogError.Unreadable(known.revision, it)) }.let { Ok(it) }
        }
    }

    private fun gapAfter(known: Configuration, records: List<ConfigRecord>) =
        LogRead(known, records, LogError.Gap(known.revision))
}

/** True for a record that a snapshot has replaced. Its key is kept so that its revision can't be written again. */
internal val StoredValue.isTrimmed: Boolean get() = value.isEmpty()
