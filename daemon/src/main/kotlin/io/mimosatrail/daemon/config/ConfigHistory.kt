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

/** The configuration in force with the records that led to it, as peers ask for them. Only moves forward. */
internal class ConfigHistory {
    private val records = ArrayDeque<ConfigRecord>()

    @Volatile
    var configuration: Configuration = Configuration()
        private set

    /** Takes [next] where it is newer; [steps] are the records that end at it, as far as they are known. */
    @Synchronized
    fun advance(next: Configuration, steps: List<ConfigRecord>): Boolean {
        if (next.revision <= configuration.revision) return false
        val fresh = steps.filter { it.revision > configuration.revision }
        if (fresh.firstOrNull()?.revision != configuration.revision.next()) records.clear()
        records += fresh
        while (records.size > MAX_RECORDS) records.removeFirst()
        configuration = next
        return true
    }

    /** What a peer at [after] needs to come up to this process. */
    @Synchronized
    fun stateAfter(after: ConfigRevision): ConfigState {
        val revision = configuration.revision
        if (after >= revision) return ConfigState(revision)
        val steps = records.filter { it.revision > after }
        val whole = steps.firstOrNull()?.revision == after.next()
        return when {
            whole -> ConfigState(revision, records = steps.map { RecordCodec.encode(it) })
            else -> ConfigState(revision, shards = SnapshotCodec.encode(configuration))
        }
    }

    /** Takes what a peer sent; false where it is unusable or not newer. */
    fun advance(state: ConfigState): Boolean =
        if (state.shards.isEmpty()) advanceBySteps(state.records) else advanceByWhole(state)

    private fun advanceByWhole(state: ConfigState): Boolean {
        val whole = SnapshotCodec.decode(state.revision, state.shards).getOrElse { return false }
        return advance(whole, emptyList())
    }

    private fun advanceBySteps(records: List<ByteArray>): Boolean {
        val known = configuration
        val steps = records.map { bytes -> RecordCodec.decode(bytes).getOrElse { return false } }
        val fresh = steps.filter { it.revision > known.revision }
        val next = known.replay(fresh).getOrElse { return false }
        return advance(next, fresh)
    }
}
