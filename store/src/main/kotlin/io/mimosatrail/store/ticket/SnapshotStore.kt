package io.mimosatrail.store.ticket

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.config.ConfigurationShard
import io.mimosatrail.core.config.assembleConfiguration
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoredValue
import kotlinx.serialization.Serializable

/**
 * Identifies the shards of the newest snapshot. [shards] is their number. [writer] is the start of the submission id of
 * the ticket whose submitter wrote the snapshot. It is part of the shards' keys, so that concurrent writers do not
 * overwrite each other's shards.
 */
@Serializable
internal data class SnapshotManifest(val revision: ConfigRevision, val writer: String, val shards: Int) {
    val keys: List<StoreKey> get() = (0 until shards).map { ConfigKeys.shard(revision, writer, it) }
}

/** The decoded manifest and the stored value that it was read from; both are null if none was ever written. */
internal class StoredManifest(val manifest: SnapshotManifest?, val stored: StoredValue?)

/** Reads snapshots of the configuration from the store. */
internal class SnapshotStore(private val store: StoreCall) {
    /**
     * Reads the newest snapshot; returns [known] if the snapshot is not newer. Fails with [LogError.Gap] if the
     * snapshot was replaced and its shards were deleted during the read.
     */
    suspend fun readNewest(known: Configuration): Result<LogRead, LogError> {
        val found = readManifest(known.revision).getOrElse { return Err(it) }
        val storeRevision = found.stored?.revision ?: StoreRevision(0)
        val newer = found.manifest?.takeIf { it.revision > known.revision }
        val configuration = newer?.let { readShards(it, known).getOrElse { error -> return Err(error) } } ?: known
        return Ok(LogRead(configuration, emptyList(), storeRevision = storeRevision))
    }

    private suspend fun readShards(manifest: SnapshotManifest, known: Configuration): Result<Configuration, LogError> {
        val shards = manifest.keys.map { readShard(it, known.revision).getOrElse { error -> return Err(error) } }
        return Ok(assembleConfiguration(manifest.revision, shards))
    }

    /** Reads the manifest; [known] is the caller's revision, for errors. */
    suspend fun readManifest(known: ConfigRevision): Result<StoredManifest, LogError> {
        val stored = get(ConfigKeys.MANIFEST).getOrElse { return Err(it) } ?: return Ok(StoredManifest(null, null))
        val manifest = RecordCodec.decode(SnapshotManifest.serializer(), stored.value)
        return Ok(StoredManifest(manifest.getOrElse { return Err(LogError.Unreadable(known, it)) }, stored))
    }

    private suspend fun readShard(key: StoreKey, known: ConfigRevision): Result<ConfigurationShard, LogError> {
        val stored = get(key).getOrElse { return Err(it) } ?: return Err(LogError.Gap(known))
        val shard = RecordCodec.decode(ConfigurationShard.serializer(), stored.value)
        return Ok(shard.getOrElse { return Err(LogError.Unreadable(known, it)) })
    }

    private suspend fun get(key: StoreKey): Result<StoredValue?, LogError> =
        when (val reply = store(StoreCommand.Get(key))) {
            is StoreReply.Value -> Ok(reply.value)
            else -> Err(LogError.Unavailable(reply.toString()))
        }
}
