package io.mimosatrail.core.store

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.id.StoreTimeline

private val delete = StoreCommand.Delete(StoreKey("a"), null)
private val written = StoreReply.Written(StoreRevision(5))

private fun timeline(number: Long) = StoreTimeline(number)

class StoreTimelinesTest :
    FunSpec({
        // Guards against results of calls that a restore of the store has made void.
        context("whether a reply holds, once timeline 2 is known") {
            data class Case(
                val name: String,
                val calledIn: StoreTimeline,
                val repliedIn: StoreTimeline?,
                val holds: Boolean,
            )
            withData(
                nameFn = { case: Case -> case.name },
                Case("sent and answered in it", timeline(2), timeline(2), true),
                Case("sent before the first reply", StoreTimeline.UNKNOWN, timeline(2), true),
                Case("sent before it", timeline(1), timeline(2), false),
                Case("sent and answered before it", timeline(1), timeline(1), false),
                Case("answered after another restore", timeline(2), timeline(3), false),
                Case("without a timeline", timeline(2), null, true),
            ) { case ->
                val timelines = StoreTimelines().apply { accept(case.calledIn) }
                val store = timelines.guard { _ ->
                    timelines.accept(timeline(2))
                    if (timelines.accept(case.repliedIn)) written else StoreReply.Uncertain("outdated")
                }
                (store(delete) == written) shouldBe case.holds
            }
        }

        test("listeners are called once for each restore, and not for the first timeline") {
            val seen = mutableListOf<Long>()
            val timelines = StoreTimelines().apply { onRestored { seen += it.value } }
            for (number in listOf(3L, 3L, 4L, 3L, 4L, 6L)) timelines.accept(timeline(number))
            seen shouldContainExactly listOf(4L, 6L)
            timelines.current shouldBe timeline(6)
        }

        test("the reply to a call that waited during a restore and was sent after it is uncertain") {
            val timelines = StoreTimelines().apply { accept(timeline(1)) }
            var isRestoredWhileWaiting = false
            val store = timelines.guard { _ ->
                if (isRestoredWhileWaiting) timelines.accept(timeline(2))
                written
            }
            (store(delete) is StoreReply.Written) shouldBe true
            isRestoredWhileWaiting = true
            (store(delete) is StoreReply.Uncertain) shouldBe true
            (store(delete) is StoreReply.Written) shouldBe true
        }

        test("every position of a later timeline is later") {
            val positions = listOf(1L to 90L, 1L to 91L, 2L to 4L, 2L to 90L)
                .map { (timeline, revision) -> StorePosition(timeline(timeline), StoreRevision(revision)) }
            positions.shuffled().sorted() shouldContainExactly positions
        }
    })
