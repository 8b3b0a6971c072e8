package io.mimosatrail.bench.journal

import io.mimosatrail.core.calls.CallCodec
import io.mimosatrail.core.calls.JournalRecord
import io.mimosatrail.core.id.LeaseId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoredValue
import io.mimosatrail.core.time.Moment
import java.util.TreeMap
import kotlin.coroutines.resume
import kotlin.coroutines.suspendCoroutine
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The platform's key-value store in virtual time, with outages and lost replies. */
internal class SimulatedStore(
    private val clock: CallSimulationClock,
    private val random: Random,
    private val defect: SimulatedDefect,
) {
    private class Lease(val ttl: Duration, var end: Moment)

    private val values = TreeMap<StoreKey, StoredValue>(compareBy { it.value })
    private val leaseOf = HashMap<StoreKey, LeaseId>()
    private val leases = HashMap<LeaseId, Lease>()
    private var revision = 0L
    private var leaseNumber = 0L

    var isDown = false
    var lostReplyRatio = 0.0
    var writes = 0L
        private set

    /** Sends [command] from [process] and waits for the reply. */
    suspend fun call(process: SimulatedProcess, command: StoreCommand): StoreReply = suspendCoroutine { continuation ->
        val reply = { reply: StoreReply -> process.run { continuation.resume(reply) } }
        clock.after(latency()) { receive(command, reply) }
    }

    /** Reads a key directly, without latency or faults. */
    fun peek(key: StoreKey): StoredValue? = values[key]

    private fun receive(command: StoreCommand, reply: (StoreReply) -> Unit) {
        val lost = StoreReply.Uncertain("no answer")
        when {
            isDown && random.nextBoolean() -> reply(StoreReply.NotDone("the store is down"))
            isDown -> clock.after(TIMEOUT) { reply(lost) }
            random.nextDouble() >= lostReplyRatio -> apply(command).let { clock.after(latency()) { reply(it) } }
            else -> {
                if (random.nextInt(3) > 0) clock.after(latency() * random.nextInt(1, 400)) { apply(command) }
                clock.after(TIMEOUT) { reply(lost) }
            }
        }
    }

    private fun latency(): Duration = random.nextLong(1, 8).milliseconds

    private fun apply(command: StoreCommand): StoreReply {
        endLeases()
        return when (command) {
            is StoreCommand.Get -> StoreReply.Value(values[command.key])
            is StoreCommand.List -> list(command)
            is StoreCommand.Put -> put(command)
            is StoreCommand.Delete -> delete(command)
            is StoreCommand.Grant -> grant(command.ttl)
            is StoreCommand.Renew -> renew(command.lease)
            is StoreCommand.Revoke -> revoke(command.lease)
            is StoreCommand.Watch -> StoreReply.NotDone("watches are not simulated")
        }
    }

    private fun list(command: StoreCommand.List): StoreReply {
        val from = command.after ?: command.prefix
        val found = values.tailMap(from, command.after == null).values
            .asSequence()
            .takeWhile { it.key.value.startsWith(command.prefix.value) }
            .take(command.limit + 1)
            .toList()
        return StoreReply.Values(found.take(command.limit), found.size > command.limit)
    }

    private fun put(command: StoreCommand.Put): StoreReply {
        val current = values[command.key]
        val lease = command.lease
        val expected = command.expected
        return when {
            lease != null && lease !in leases -> StoreReply.Conflict(null)
            expected != null && expected != (current?.revision ?: StoreRevision(0)) -> StoreReply.Conflict(current)
            isDroppedByDefect(command) -> StoreReply.Written(StoreRevision(++revision))
            else -> write(command, current)
        }
    }

    private fun write(command: StoreCommand.Put, current: StoredValue?): StoreReply {
        writes++
        val at = StoreRevision(++revision)
        values[command.key] = StoredValue(command.key, command.value, at, current?.createRevision ?: at)
        command.lease?.let { leaseOf[command.key] = it }
        return StoreReply.Written(at)
    }

    private fun isDroppedByDefect(command: StoreCommand.Put): Boolean {
        if (defect == SimulatedDefect.NONE || !command.key.value.startsWith("journal/")) return false
        val isSeal = CallCodec.record(command.value) is JournalRecord.Seal
        return isSeal == (defect == SimulatedDefect.NO_SEAL)
    }

    private fun delete(command: StoreCommand.Delete): StoreReply {
        val current = values[command.key]
        val expected = command.expected
        if (expected != null && current?.revision != expected) return StoreReply.Conflict(current)
        values.remove(command.key)
        return StoreReply.Written(StoreRevision(++revision))
    }

    private fun grant(ttl: Duration): StoreReply {
        val id = LeaseId(++leaseNumber)
        leases[id] = Lease(ttl, clock.now + ttl)
        return StoreReply.Lease(id, ttl)
    }

    private fun renew(id: LeaseId): StoreReply {
        val lease = leases[id] ?: return StoreReply.Conflict(null)
        lease.end = clock.now + lease.ttl
        return StoreReply.Lease(id, lease.ttl)
    }

    private fun revoke(id: LeaseId): StoreReply {
        leases.remove(id)
        val keys = leaseOf.filterValues { it == id }.keys.toList()
        keys.forEach {
            values.remove(it)
            leaseOf.remove(it)
        }
        return StoreReply.Written(StoreRevision(++revision))
    }

    private fun endLeases() {
        leases.filterValues { it.end <= clock.now }.keys.toList().forEach(::revoke)
    }

    private companion object {
        val TIMEOUT = 500.milliseconds
    }
}
