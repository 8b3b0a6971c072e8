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

private const val MAX_SHARD_OBJECTS = 4_000

/** Encodes a whole configuration as shards, each small enough for one value of the store, and decodes them. */
object SnapshotCodec {
    fun encode(configuration: Configuration): List<ByteArray> = encode(configuration, MAX_SHARD_OBJECTS)

    fun decode(revision: ConfigRevision, shards: List<ByteArray>): Result<Configuration, RecordError> {
        val decoded = shards.map { bytes ->
            RecordCodec.decode(ConfigurationShard.serializer(), bytes).getOrElse { return Err(it) }
        }
        return Ok(assembleConfiguration(revision, decoded))
    }

    private fun encode(configuration: Configuration, maxObjects: Int): List<ByteArray> {
        val shards = configuration.toShards(maxObjects).map { RecordCodec.encode(ConfigurationShard.serializer(), it) }
        val fits = maxObjects == 1 || shards.all { it.size <= MAX_VALUE_BYTES }
        return if (fits) shards else encode(configuration, maxObjects / 2)
    }
}
