package io.mimosatrail.daemon.config

import com.github.michaelbull.result.getOrElse
import io.mimosatrail.core.config.ConfigRecord
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.config.replay
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.protocol.ConfigState
import io.mimosatrail.store.ticket.RecordCodec
import io.mimosatrail.store.ticket.SnapshotCodec

private const val MAX_RECORDS = 100

/**
 * The configuration in force and up to [MAX_RECORDS] records that led to it, for peers that fetch them. Its revision
 * never decreases. Thread-safe.
 */
internal class ConfigHistory {
    private val records = ArrayDeque<ConfigRecord>()

    @Volatile
    var configuration: Configuration = Configuration()
        private set

    /** Replaces the configuration with [next] if that is newer. [newest] are the known records that end at [next]. */
    @Synchronized
    fun advance(next: Configuration, newest: List<ConfigRecord>): Boolean {
        if (next.revision <= configuration.revision) return false
        val added = newest.filter { it.revision > configuration.revision }
        if (added.firstOrNull()?.revision != configuration.revision.next()) records.clear()
        records += added
        while (records.size > MAX_RECORDS) records.removeFirst()
        configuration = next
        return true
    }

    /** The content that brings a peer from revision [after] to the configuration in force. */
    @Synchronized
    fun stateAfter(after: ConfigRevision): ConfigState {
        val revision = configuration.revision
        if (after >= revision) return ConfigState(revision)
        val later = records.filter { it.revision > after }
        val isComplete = later.firstOrNull()?.revision == after.next()
        return when {
            isComplete -> ConfigState(revision, records = later.map { RecordCodec.encode(it) })
            else -> ConfigState(revision, shards = SnapshotCodec.encode(configuration))
        }
    }

    /** Applies the content that a peer sent. Returns false and changes nothing if it is invalid or not newer. */
    fun advance(state: ConfigState): Boolean =
        if (state.shards.isEmpty()) advanceByRecords(state.records) else advanceByShards(state)

    private fun advanceByShards(state: ConfigState): Boolean {
        val next = SnapshotCodec.decode(state.revision, state.shards).getOrElse { return false }
        return advance(next, emptyList())
    }

    private fun advanceByRecords(records: List<ByteArray>): Boolean {
        val current = configuration
        val decoded = records.map { bytes -> RecordCodec.decode(bytes).getOrElse { return false } }
        val added = decoded.filter { it.revision > current.revision }
        val next = current.replay(added).getOrElse { return false }
        return advance(next, added)
    }
}
