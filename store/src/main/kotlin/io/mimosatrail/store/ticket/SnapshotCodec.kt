package io.mimosatrail.store.ticket

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.config.ConfigurationShard
import io.mimosatrail.core.config.assembleConfiguration
import io.mimosatrail.core.config.toShards
import io.mimosatrail.core.id.ConfigRevision

private const val SHARD_OBJECTS = 4_000

/** Turns a whole configuration into encoded shards, each within one value of the store, and back. */
object SnapshotCodec {
    fun encode(configuration: Configuration): List<ByteArray> = encode(configuration, SHARD_OBJECTS)

    fun decode(revision: ConfigRevision, shards: List<ByteArray>): Result<Configuration, RecordError> {
        val decoded = shards.map { bytes ->
            RecordCodec.decode(ConfigurationShard.serializer(), bytes).getOrElse { return Err(it) }
        }
        return Ok(assembleConfiguration(revision, decoded))
    }

    private fun encode(configuration: Configuration, objects: Int): List<ByteArray> {
        val shards = configuration.toShards(objects).map { RecordCodec.encode(ConfigurationShard.serializer(), it) }
        val fits = objects == 1 || shards.all { it.size <= MAX_VALUE_BYTES }
        return if (fits) shards else encode(configuration, objects / 2)
    }
}
