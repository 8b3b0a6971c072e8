package io.mimosatrail.store.ticket

import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.id.SubmissionId
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply

private val log = KotlinLogging.logger("tickets")

/**
 * Number of revisions between snapshots, and number of records up to the newest snapshot's revision that stay readable.
 */
internal const val SNAPSHOT_INTERVAL = 100

private const val WRITER_ID_LENGTH = 12
private val ABSENT = StoreRevision(0)
private val TRIMMED_VALUE = ByteArray(0)

/**
 * Writes a snapshot every [SNAPSHOT_INTERVAL] revisions, which bounds how much a starting process has to read.
 *
 * Old records that the snapshot makes unnecessary are overwritten with an empty value. Their keys are not deleted: a
 * submitter that was paused before its write could otherwise create the same revision a second time.
 *
 * Readers use a snapshot only after the manifest refers to it, so one that fails halfway is not visible. The next
 * accepted ticket then starts a new one.
 */
internal class SnapshotWriter(private val store: StoreCall) {
    private val snapshots = SnapshotStore(store)

    /**
     * Writes a snapshot of [configuration] if the last one is at least [SNAPSHOT_INTERVAL] revisions older. A failure
     * is only logged, because the ticket is already accepted.
     */
    suspend fun writeIfDue(configuration: Configuration, submission: SubmissionId) {
        val previous = snapshots.readManifest(configuration.revision).getOrElse { return }
        val last = previous.manifest?.revision ?: ConfigRevision(0)
        if (configuration.revision.value - last.value < SNAPSHOT_INTERVAL) return
        val problem = write(configuration, submission, previous)
        if (problem != null) log.warn { "tickets: snapshot ${configuration.revision} was not completed: $problem" }
    }

    /** Returns null on success, otherwise a description of the failed write. */
    private suspend fun write(
        configuration: Configuration,
        submission: SubmissionId,
        previous: StoredManifest,
    ): String? {
        val shards = SnapshotCodec.encode(configuration)
        val manifest = SnapshotManifest(configuration.revision, submission.value.take(WRITER_ID_LENGTH), shards.size)
        manifest.keys.zip(shards).forEach { (key, shard) -> put(key, shard, null)?.let { return it } }
        val encoded = RecordCodec.encode(SnapshotManifest.serializer(), manifest)
        put(ConfigKeys.MANIFEST, encoded, previous.stored?.revision ?: ABSENT)?.let { return it }
        trimRecords(previous.manifest?.revision ?: ConfigRevision(0), configuration.revision)
        previous.manifest?.keys?.forEach { store(StoreCommand.Delete(it, null)) }
        return null
    }

    /** Empties the records that the snapshot at [previous] kept and that are one interval or more behind [newest]. */
    private suspend fun trimRecords(previous: ConfigRevision, newest: ConfigRevision) {
        val first = (previous.value - SNAPSHOT_INTERVAL + 1).coerceAtLeast(1)
        val last = newest.value - SNAPSHOT_INTERVAL
        for (revision in first..last) put(ConfigKeys.record(ConfigRevision(revision)), TRIMMED_VALUE, null)
    }

    /** Returns null on success, otherwise a description of the store's reply. */
    private suspend fun put(key: StoreKey, value: ByteArray, expected: StoreRevision?): String? =
        when (val reply = store(StoreCommand.Put(key, value, expected))) {
            is StoreReply.Written -> null
            else -> reply.toString()
        }
}
