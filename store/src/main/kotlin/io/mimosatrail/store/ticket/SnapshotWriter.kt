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

/** Revisions from one snapshot to the next, and records that stay readable behind a snapshot. */
internal const val SNAPSHOT_REVISIONS = 100

private const val WRITER_DIGITS = 12
private val ABSENT = StoreRevision(0)
private val TRIMMED = ByteArray(0)

/**
 * Writes a snapshot every [SNAPSHOT_REVISIONS] revisions, which bounds what a start has to read.
 *
 * Records that a snapshot replaces are emptied and their keys stay: if a key were deleted, a submitter that was paused
 * before its write could create that revision a second time. A snapshot that fails halfway is left to the next
 * submission; readers see it only once the manifest names it.
 */
internal class SnapshotWriter(private val store: StoreCall) {
    private val snapshots = SnapshotStore(store)

    suspend fun writeIfDue(configuration: Configuration, submission: SubmissionId) {
        val previous = snapshots.manifest(configuration.revision).getOrElse { return }
        val last = previous.manifest?.revision ?: ConfigRevision(0)
        if (configuration.revision.value - last.value < SNAPSHOT_REVISIONS) return
        val problem = write(configuration, submission, previous)
        if (problem != null) log.warn { "tickets: no snapshot at revision ${configuration.revision}: $problem" }
    }

    private suspend fun write(
        configuration: Configuration,
        submission: SubmissionId,
        previous: StoredManifest,
    ): String? {
        val shards = SnapshotCodec.encode(configuration)
        val manifest = SnapshotManifest(configuration.revision, submission.value.take(WRITER_DIGITS), shards.size)
        manifest.keys.zip(shards).forEach { (key, shard) -> put(key, shard, null)?.let { return it } }
        val encoded = RecordCodec.encode(SnapshotManifest.serializer(), manifest)
        put(ConfigKeys.MANIFEST, encoded, previous.stored?.revision ?: ABSENT)?.let { return it }
        trim(previous.manifest?.revision ?: ConfigRevision(0), configuration.revision)
        previous.manifest?.keys?.forEach { store(StoreCommand.Delete(it, null)) }
        return null
    }

    private suspend fun trim(previous: ConfigRevision, newest: ConfigRevision) {
        val first = (previous.value - SNAPSHOT_REVISIONS + 1).coerceAtLeast(1)
        val last = newest.value - SNAPSHOT_REVISIONS
        for (revision in first..last) put(ConfigKeys.record(ConfigRevision(revision)), TRIMMED, null)
    }

    private suspend fun put(key: StoreKey, value: ByteArray, expected: StoreRevision?): String? =
        when (val reply = store(StoreCommand.Put(key, value, expected))) {
            is StoreReply.Written -> null
            else -> reply.toString()
        }
}
