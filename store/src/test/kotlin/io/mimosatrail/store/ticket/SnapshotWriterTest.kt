package io.mimosatrail.store.ticket

import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.config.ConfigRecord
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.store.client.FakeStore
import io.mimosatrail.store.client.Fault
import kotlin.random.Random

private suspend fun FakeStore.submitAll(numbers: IntRange) = numbers.forEach { number ->
    val ticket = serviceTicket(number.toLong(), "service-${number % 7}")
    val accepted = TicketSubmitter(::call, "tester", Random(1)).submit(ticket, submissionIdOf(ticket)).get()
    check(accepted?.revision == ConfigRevision(number.toLong())) { "ticket $number ended as $accepted" }
}

private suspend fun FakeStore.readFrom(known: Configuration) = TicketLog(::call).read(known)

private data class Interruption(val name: String, val fault: (StoreCommand) -> Fault?) {
    override fun toString() = name
}

private fun StoreCommand.writes(prefix: String) = this is StoreCommand.Put && key.value.startsWith(prefix)

class SnapshotWriterTest :
    FunSpec({
        test("a starting process reads a bounded number of values, whatever the length of the log") {
            val store = FakeStore()
            store.submitAll(1..450)
            store.calls.clear()
            val read = store.readFrom(Configuration())
            read.configuration.revision shouldBe ConfigRevision(450)
            read.configuration.services.size shouldBe 7
            store.calls.size shouldBeLessThan 10
        }

        test("a reader whose next records were trimmed continues from the snapshot") {
            val store = FakeStore()
            store.submitAll(1..5)
            val old = store.readFrom(Configuration()).configuration
            store.submitAll(6..320)
            store.readFrom(old).configuration shouldBe store.readFrom(Configuration()).configuration
        }

        test("a trimmed revision can't be written again") {
            val store = FakeStore()
            store.submitAll(1..320)
            val ticket = serviceTicket(1_000, "late")
            val record = ConfigRecord(ConfigRevision(6), submissionIdOf(ticket), "paused", ticket)
            RecordAppend(store::call, record, Random(1)).run() shouldBe AppendResult.RevisionTaken
        }

        context("an interrupted snapshot loses no records") {
            withData(
                nameFn = { it.name },
                Interruption("shards") { Fault.NOT_DONE.takeIf { _ -> it.writes("config/snapshot/") } },
                Interruption("manifest") { Fault.LOST_BEFORE.takeIf { _ -> it.writes("config/manifest") } },
                Interruption("manifest reply") { Fault.LOST_AFTER.takeIf { _ -> it.writes("config/manifest") } },
                Interruption("old shards") { Fault.NOT_DONE.takeIf { _ -> it is StoreCommand.Delete } },
            ) { case ->
                val store = FakeStore()
                store.submitAll(1..199)
                store.fault = case.fault
                store.submitAll(200..205)
                store.fault = { null }
                store.readFrom(Configuration()).configuration.revision shouldBe ConfigRevision(205)
                store.submitAll(206..410)
                store.readFrom(Configuration()).configuration.revision shouldBe ConfigRevision(410)
            }
        }

        test("shards of replaced snapshots are deleted") {
            val store = FakeStore()
            store.submitAll(1..310)
            store.values.keys.filter { it.startsWith("config/snapshot/") && "/000000000300/" !in it }.shouldBeEmpty()
        }
    })
