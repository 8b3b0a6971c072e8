package io.mimosatrail.core.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.membership.InstanceState
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private fun UpstreamTable.names(at: Moment = warm) = serving(poolService, at).map { it.id.value }

private fun four() = tableOf(4, Runner("a", 0, 4), Runner("b", 0, 4), Runner("c", 0, 4), Runner("d", 0, 4))

class UpstreamTableTest :
    FunSpec({
        test("an upstream gets requests only after its sidecar has described it") {
            val table = UpstreamTable()
            table.onList(listOf(entryOf("a")), start)
            table.names().shouldBeEmpty()
            table.onDescribed(Runner("a", 0, 4).description(4), start)
            table.names() shouldBe listOf("a")
        }

        context("a leaving upstream gets no new requests") {
            data class Case(val name: String, val apply: (UpstreamTable) -> Unit)
            val a = InstanceId("a")
            val draining = UpstreamLoad(draining = true)
            withData(
                nameFn = { case: Case -> case.name },
                Case("listed as leaving") {
                    it.onList(listOf(entryOf("a", state = InstanceState.LEAVING), entryOf("b")), warm)
                },
                Case("absent from the list") { it.onList(listOf(entryOf("b")), warm) },
                Case("refusal because of draining") { it.onRefused(a, RefusalReason.DRAINING, warm) },
                Case("draining in its load report") { it.onLoad(a, draining, warm) },
                Case("draining in its description") {
                    it.onDescribed(Runner("a", 0, 4, draining).description(4), warm)
                },
            ) { case ->
                val table = tableOf(4, Runner("a", 0, 4), Runner("b", 0, 4))
                case.apply(table)
                table.names(warm + 3_600.seconds) shouldBe listOf("b")
            }
        }

        test("a late load report does not put a draining upstream back in use") {
            val table = four()
            table.onRefused(InstanceId("a"), RefusalReason.DRAINING, warm)
            table.onLoad(InstanceId("a"), UpstreamLoad(), warm)
            table.names() shouldContainExactlyInAnyOrder listOf("b", "c", "d")
        }

        test("the ejection of a lost upstream doubles until it recovers") {
            val table = four()
            val a = InstanceId("a")
            var now = warm
            fun ejectionLength(): Duration {
                table.onLost(a, now)
                var length = Duration.ZERO
                while ("a" !in table.names(now + length)) length += 1.seconds
                now += length
                return length
            }
            List(7) { ejectionLength().inWholeSeconds } shouldBe listOf(1L, 2L, 4L, 8L, 16L, 30L, 30L)
            table.onLoad(a, UpstreamLoad(), now + 29.seconds)
            ejectionLength().inWholeSeconds shouldBe 30
            now += 30.seconds
            table.onLoad(a, UpstreamLoad(), now)
            ejectionLength().inWholeSeconds shouldBe 1
        }

        test("half of the upstreams stay in use when all are lost") {
            val table = four()
            listOf("a", "b", "c", "d").forEach { table.onLost(InstanceId(it), warm) }
            table.names() shouldHaveSize 2
        }

        test("a draining upstream is never used to keep the minimum in use") {
            val table = four()
            listOf("a", "b", "c", "d").forEach { table.onRefused(InstanceId(it), RefusalReason.DRAINING, warm) }
            table.names().shouldBeEmpty()
        }

        test("an instance with a new address must be described again") {
            val table = four()
            val moved = entryOf("a").copy(address = entryOf("z").address)
            table.onList(listOf(moved, entryOf("b"), entryOf("c"), entryOf("d")), warm)
            table.names() shouldContainExactlyInAnyOrder listOf("b", "c", "d")
        }

        test("a sidecar is not asked again before it answers, and undescribed ones are asked first") {
            val table = tableOf(4, Runner("a", 0, 4))
            table.onList(listOf(entryOf("a"), entryOf("b")), start)
            table.takeDue(start, 1).map { it.id.value } shouldBe listOf("b")
            table.takeDue(start, 5).map { it.id.value } shouldBe listOf("a")
            table.takeDue(warm, 5).shouldBeEmpty()
            table.onLost(InstanceId("b"), warm)
            table.takeDue(warm, 5).map { it.id.value } shouldBe listOf("b")
        }
    })
