package io.mimosatrail.core.config

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.id.RuleId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.SubmissionId
import io.mimosatrail.core.id.TicketNumber
import io.mimosatrail.core.id.WorkspaceId

private val pool = ModelPool(ServiceId("pool"), ModelId("m"), layers = 4)
private val service = PlainService(ServiceId("defects"))
private val workspace = Workspace(WorkspaceId("crews"), listOf("a".repeat(64)))
private val rule = RoutingRule(RuleId("r"), ServiceId("pool"), ModelId("m"))
private val before = Ticket(TicketNumber(10), listOf(workspace), listOf(pool), listOf(service), listOf(rule))
private val base = checkNotNull(Configuration().apply(before).get())

private fun ticket(number: Long = 11, change: Ticket.() -> Ticket) = Ticket(TicketNumber(number)).change()

private data class BadTicket(val name: String, val ticket: Ticket, val path: String) {
    override fun toString() = name
}

class ConfigurationChangeTest :
    FunSpec({
        test("a ticket replaces the whole state of its objects and leaves other objects unchanged") {
            val next = base.apply(ticket { copy(services = listOf(service.copy(slots = 4))) }).get()
            next?.revision shouldBe ConfigRevision(2)
            next?.services shouldBe mapOf(pool.id to pool, service.id to service.copy(slots = 4))
            next?.lastTickets?.get(service.id.toConfigObject()) shouldBe TicketNumber(11)
        }

        context("a ticket is refused as a whole if any of its objects was changed under the same or a higher number") {
            withData(9L, 10L) { number ->
                val stale = ticket(number) { copy(services = listOf(service, PlainService(ServiceId("new")))) }
                val refusal = base.apply(stale).getError()
                refusal.shouldBeInstanceOf<TicketRefusal.Superseded>()
                refusal.objects shouldBe listOf(SupersededObject(service.id.toConfigObject(), TicketNumber(10)))
            }
        }

        test("a removed object still refuses tickets with a lower number") {
            val removed = base.apply(ticket(20) { copy(removed = Removals(services = listOf(service.id))) }).get()
            removed?.services?.keys shouldBe setOf(pool.id)
            removed?.apply(ticket(15) { copy(services = listOf(service)) })?.getError()
                .shouldBeInstanceOf<TicketRefusal.Superseded>()
        }

        context("an inconsistent ticket is refused with the path of the problem") {
            withData(
                nameFn = { it.name },
                BadTicket("empty", ticket { this }, "ticket"),
                BadTicket("number 0", ticket(0) { copy(services = listOf(service)) }, "ticket"),
                BadTicket("id", ticket { copy(services = listOf(PlainService(ServiceId("a b")))) }, "services[0].id"),
                BadTicket("twice", ticket { copy(services = listOf(service, service)) }, "services[1].id"),
                BadTicket(
                    "pool and service of one name",
                    ticket { copy(pools = listOf(pool), services = listOf(PlainService(pool.id))) },
                    "services[0].id",
                ),
                BadTicket("layers", ticket { copy(pools = listOf(pool.copy(layers = 0))) }, "pools[0].layers"),
                BadTicket(
                    "key",
                    ticket { copy(workspaces = listOf(workspace.copy(keyHashes = listOf("plain")))) },
                    "workspaces[0].keyHashes",
                ),
                BadTicket(
                    "key of another workspace",
                    ticket { copy(workspaces = listOf(workspace.copy(id = WorkspaceId("others")))) },
                    "workspaces[0].keyHashes",
                ),
                BadTicket(
                    "unknown service",
                    ticket { copy(rules = listOf(RoutingRule(RuleId("x"), ServiceId("none")))) },
                    "rules[0]",
                ),
                BadTicket(
                    "unknown workspace",
                    ticket { copy(rules = listOf(rule.copy(id = RuleId("x"), workspace = WorkspaceId("none")))) },
                    "rules[0]",
                ),
                BadTicket(
                    "model of another pool",
                    ticket { copy(rules = listOf(rule.copy(id = RuleId("x"), model = ModelId("other")))) },
                    "rules[0]",
                ),
                BadTicket("competing", ticket { copy(rules = listOf(rule.copy(id = RuleId("x")))) }, "rules[0]"),
                BadTicket(
                    "removal leaves a rule without service",
                    ticket { copy(removed = Removals(services = listOf(pool.id))) },
                    "ticket",
                ),
                BadTicket(
                    "removal of nothing",
                    ticket { copy(removed = Removals(rules = listOf(RuleId("none")))) },
                    "remove",
                ),
                BadTicket(
                    "set and removed",
                    ticket { copy(services = listOf(service), removed = Removals(services = listOf(service.id))) },
                    "remove",
                ),
            ) { case ->
                val refusal = base.apply(case.ticket).getError().shouldBeInstanceOf<TicketRefusal.Invalid>()
                refusal.problems.map { it.path.toString() } shouldContain case.path
            }
        }

        test("records are replayed only in order") {
            val record = ConfigRecord(ConfigRevision(3), SubmissionId("s"), "tester", before)
            base.replay(record).getError() shouldBe RevisionGap(ConfigRevision(1), ConfigRevision(3))
            base.replay(record.copy(revision = ConfigRevision(2))).get()?.revision shouldBe ConfigRevision(2)
        }

        test("shards joined again give the same configuration") {
            assembleConfiguration(base.revision, base.toShards(1)) shouldBe base
        }
    })
