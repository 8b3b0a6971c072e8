package io.mimosatrail.core.calls

import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.Epoch
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoredValue
import java.util.TreeMap

private val epoch = Epoch(3)
private val keys = CallKeys(ServiceId("defects"))

/** In-memory store that supports the commands used by [JournalStore]. */
private class MemoryStore {
    private val values = TreeMap<String, StoredValue>()

    val sequences get() = values.keys.map { keys.sequenceOf(StoreKey(it)) }

    fun put(sequence: Long, record: JournalRecord): StoreReply =
        apply(StoreCommand.Put(keys.record(epoch, sequence), CallCodec.encode(record), StoreRevision(0)))

    fun apply(command: StoreCommand): StoreReply = when (command) {
        is StoreCommand.Get -> StoreReply.Value(values[command.key.value])
        is StoreCommand.List -> list(command)
        is StoreCommand.Put -> put(command)
        is StoreCommand.Delete -> StoreReply.Written(StoreRevision(1)).also { values.remove(command.key.value) }
        else -> StoreReply.NotDone("not supported by this test")
    }

    private fun list(command: StoreCommand.List): StoreReply {
        val found = values.tailMap(command.after?.value ?: command.prefix.value, command.after == null).values
        return StoreReply.Values(found.take(command.limit), found.size > command.limit)
    }

    private fun put(command: StoreCommand.Put): StoreReply {
        val current = values[command.key.value]
        if (current != null) return StoreReply.Conflict(current)
        values[command.key.value] = StoredValue(command.key, command.value, StoreRevision(1), StoreRevision(1))
        return StoreReply.Written(StoreRevision(1))
    }
}

private fun batch(written: Long) = JournalRecord.Batch(WriterNonce("n$written"), WallTime(written), emptyList())

private fun storeWith(records: LongRange) = MemoryStore().also { store -> records.forEach { store.put(it, batch(it)) } }

private suspend fun MemoryStore.seal() =
    JournalStore(keys) { apply(it) }.seal(epoch, InstanceId("taker"), WriterNonce("seal"))

class JournalStoreTest :
    FunSpec({
        context("a journal is sealed at its first empty sequence, even if its oldest records were deleted") {
            val journals = (0L..40L).map { 0L until it } + listOf(7L..7L, 7L..8L, 1_000L..2_345L)
            withData(nameFn = { "records $it" }, journals) { records ->
                val store = storeWith(records)
                store.seal().get() shouldBe Unit
                val end = if (records.isEmpty()) 0 else records.last + 1
                store.sequences shouldContainExactly records.toList() + end
                (store.put(end, batch(end)) is StoreReply.Conflict) shouldBe true
                store.seal().get() shouldBe Unit
                store.sequences.last() shouldBe end
            }
        }

        test("trimming a sealed journal keeps recent records and never deletes the seal") {
            val store = storeWith(0L..29L)
            store.seal()
            val journals = JournalStore(keys) { store.apply(it) }
            repeat(3) { journals.trim(epoch, WallTime(25)).get() shouldBe false }
            store.sequences shouldContainExactly (25L..30L).toList()
            journals.trim(epoch, WallTime(100)).get() shouldBe true
            repeat(3) { journals.trim(epoch, WallTime(1_000)).get() shouldBe true }
            store.sequences shouldContainExactly listOf(30L)
        }
    })
