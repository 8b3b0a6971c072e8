package io.mimosatrail.store.ticket

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.config.Ticket
import io.mimosatrail.core.config.TicketRefusal
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.TicketNumber
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.store.client.FakeStore
import io.mimosatrail.store.client.Fault
import kotlin.random.Random

private suspend fun FakeStore.submit(ticket: Ticket) =
    TicketSubmitter(::call, "tester", Random(1)).submit(ticket, submissionIdOf(ticket))

private suspend fun FakeStore.read(): Configuration = TicketLog(::call).read(Configuration()).configuration

private data class WriteFaults(val fault: Fault, val count: Int)

class TicketSubmitterTest :
    FunSpec({
        test("accepted tickets are in the log in order") {
            val store = FakeStore()
            store.submit(serviceTicket(1, "a")).get() shouldBe AcceptedTicket(ConfigRevision(1))
            store.submit(serviceTicket(2, "b")).get() shouldBe AcceptedTicket(ConfigRevision(2))
            store.read().services.keys shouldBe setOf(ServiceId("a"), ServiceId("b"))
        }

        context("a ticket is written once even if writes fail or their replies are lost") {
            withData(
                WriteFaults(Fault.NOT_DONE, 2),
                WriteFaults(Fault.LOST_BEFORE, 2),
                WriteFaults(Fault.LOST_AFTER, 1),
                WriteFaults(Fault.LOST_AFTER, 3),
            ) { case ->
                val store = FakeStore()
                var faultsLeft = case.count
                store.fault = { command -> case.fault.takeIf { command is StoreCommand.Put && faultsLeft-- > 0 } }
                store.submit(serviceTicket(1, "a")).get()?.revision shouldBe ConfigRevision(1)
                store.read().revision shouldBe ConfigRevision(1)
            }
        }

        test("the result is uncertain if every reply is lost, and submitting again resolves it") {
            val store = FakeStore()
            store.fault = { command -> Fault.LOST_AFTER.takeIf { command is StoreCommand.Put } }
            store.submit(serviceTicket(1, "a")).getError().shouldBeInstanceOf<SubmitError.Uncertain>()
            store.fault = { null }
            store.submit(serviceTicket(1, "a")).get() shouldBe AcceptedTicket(ConfigRevision(1), repeated = true)
            store.read().revision shouldBe ConfigRevision(1)
        }

        test("a ticket whose revision was taken is checked again, and its refusal has the number of the other ticket") {
            val store = FakeStore()
            var concurrentTicket: Ticket? = serviceTicket(8, "a", slots = 8)
            store.beforeCall = { command ->
                val ticket = concurrentTicket
                if (command is StoreCommand.Put && ticket != null) {
                    concurrentTicket = null
                    store.submit(ticket)
                }
            }
            val error = store.submit(serviceTicket(7, "a", "b")).getError().shouldBeInstanceOf<SubmitError.Refused>()
            val refusal = error.refusal.shouldBeInstanceOf<TicketRefusal.Superseded>()
            refusal.objects.map { it.lastTicket } shouldBe listOf(TicketNumber(8))
            store.read().services.keys shouldBe setOf(ServiceId("a"))
        }

        test("two concurrent tickets that change different objects are both accepted") {
            val store = FakeStore()
            var concurrentTicket: Ticket? = serviceTicket(9, "b")
            store.beforeCall = { command ->
                val ticket = concurrentTicket
                if (command is StoreCommand.Put && ticket != null) {
                    concurrentTicket = null
                    store.submit(ticket)
                }
            }
            store.submit(serviceTicket(7, "a")).get()?.revision shouldBe ConfigRevision(2)
            store.read().services.keys shouldBe setOf(ServiceId("a"), ServiceId("b"))
        }

        test("a ticket of 10,000 workspaces fits into one record") {
            val store = FakeStore()
            store.submit(workspaceTicket(3, 10_000)).get()?.revision shouldBe ConfigRevision(1)
            store.read().workspaces.size shouldBe 10_000
        }

        context("a record that cannot be decoded stops reading and submitting; earlier records stay in force") {
            withData(
                nameFn = { it.first },
                "corrupt" to byteArrayOf(1, 2, 3),
                "future" to RecordCodec.encode(FutureRecord.serializer(), FutureRecord("x")),
            ) { (_, bytes) ->
                val store = FakeStore()
                store.submit(serviceTicket(1, "a"))
                store.overwrite(ConfigKeys.record(ConfigRevision(2)), bytes)
                val read = TicketLog(store::call).read(Configuration())
                read.configuration.revision shouldBe ConfigRevision(1)
                read.error.shouldBeInstanceOf<LogError.Unreadable>()
                store.submit(serviceTicket(3, "c")).getError().shouldBeInstanceOf<SubmitError.Unreadable>()
            }
        }
    })

@kotlinx.serialization.Serializable
private class FutureRecord(val shape: String)
