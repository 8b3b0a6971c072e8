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

private data class WriteFaults(val first: Fault, val count: Int)

class TicketSubmitterTest :
    FunSpec({
        test("accepted tickets stand in the log in order") {
            val store = FakeStore()
            store.submit(serviceTicket(1, "a")).get() shouldBe AcceptedTicket(ConfigRevision(1))
            store.submit(serviceTicket(2, "b")).get() shouldBe AcceptedTicket(ConfigRevision(2))
            store.read().services.keys shouldBe setOf(ServiceId("a"), ServiceId("b"))
        }

        context("a write that fails or loses its answer is not doubled") {
            withData(
                WriteFaults(Fault.NOT_DONE, 2),
                WriteFaults(Fault.LOST_BEFORE, 2),
                WriteFaults(Fault.LOST_AFTER, 1),
                WriteFaults(Fault.LOST_AFTER, 3),
            ) { case ->
                val store = FakeStore()
                var left = case.count
                store.fault = { command -> case.first.takeIf { command is StoreCommand.Put && left-- > 0 } }
                store.submit(serviceTicket(1, "a")).get()?.revision shouldBe ConfigRevision(1)
                store.read().revision shouldBe ConfigRevision(1)
            }
        }

        test("an answer lost for good is said to be uncertain, and submitting again settles it") {
            val store = FakeStore()
            store.fault = { command -> Fault.LOST_AFTER.takeIf { command is StoreCommand.Put } }
            store.submit(serviceTicket(1, "a")).getError().shouldBeInstanceOf<SubmitError.Uncertain>()
            store.fault = { null }
            store.submit(serviceTicket(1, "a")).get() shouldBe AcceptedTicket(ConfigRevision(1), repeated = true)
            store.read().revision shouldBe ConfigRevision(1)
        }

        test("a lost race is checked again and the winner is named") {
            val store = FakeStore()
            var rival: Ticket? = serviceTicket(8, "a", slots = 8)
            store.before = { command ->
                val ticket = rival
                if (command is StoreCommand.Put && ticket != null) {
                    rival = null
                    store.submit(ticket)
                }
            }
            val error = store.submit(serviceTicket(7, "a", "b")).getError().shouldBeInstanceOf<SubmitError.Refused>()
            val refusal = error.refusal.shouldBeInstanceOf<TicketRefusal.Superseded>()
            refusal.objects.map { it.lastTicket } shouldBe listOf(TicketNumber(8))
            store.read().services.keys shouldBe setOf(ServiceId("a"))
        }

        test("a lost race over other objects ends with both in force") {
            val store = FakeStore()
            var rival: Ticket? = serviceTicket(9, "b")
            store.before = { command ->
                val ticket = rival
                if (command is StoreCommand.Put && ticket != null) {
                    rival = null
                    store.submit(ticket)
                }
            }
            store.submit(serviceTicket(7, "a")).get()?.revision shouldBe ConfigRevision(2)
            store.read().services.keys shouldBe setOf(ServiceId("a"), ServiceId("b"))
        }

        test("a ticket of 10,000 workspaces fits one record") {
            val store = FakeStore()
            store.submit(workspaceTicket(3, 10_000)).get()?.revision shouldBe ConfigRevision(1)
            store.read().workspaces.size shouldBe 10_000
        }

        context("an unusable record stops reading and submitting, and what came before stays") {
            withData(
                nameFn = { it.first },
                "corrupt" to byteArrayOf(1, 2, 3),
                "future" to RecordCodec.encode(ConfigRecordOfFuture.serializer(), ConfigRecordOfFuture("x")),
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
private class ConfigRecordOfFuture(val shape: String)
