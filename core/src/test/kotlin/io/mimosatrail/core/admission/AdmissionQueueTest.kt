package io.mimosatrail.core.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SEED = 20_261_204L

private val start = Moment(0)

/** Each unit of cost takes 10 ms. */
private fun queue(capacity: Int = 100) = AdmissionQueue(capacity) { 10.milliseconds * it }

private fun work(
    name: String,
    workspace: String = "w",
    priority: Int = 10,
    startByMillis: Int = 60_000,
    share: Int = 1,
) = QueuedWork(RequestId(name), WorkspaceId(workspace), priority, start + startByMillis.milliseconds, share)

private fun AdmissionQueue.drain() = generateSequence { next() }.map { it.request.value }.toList()

class AdmissionQueueTest :
    FunSpec({
        test("lower priority runs first, then the earlier deadline, then the earlier arrival") {
            val queue = queue()
            queue.offer(work("d", priority = 20, startByMillis = 900), start)
            queue.offer(work("b", startByMillis = 2_000), start)
            queue.offer(work("c", startByMillis = 2_000), start)
            queue.offer(work("a", startByMillis = 1_000), start)
            queue.drain() shouldBe listOf("a", "b", "c", "d")
        }

        test("a workspace with a large backlog does not delay one with a small backlog") {
            val queue = queue()
            repeat(50) { queue.offer(work("large$it", "large"), start) }
            queue.offer(work("small", "small"), start)
            queue.drain().indexOf("small") shouldBeLessThanOrEqual 1
        }

        test("workspaces are served in proportion to their shares") {
            val queue = queue()
            repeat(40) { queue.offer(work("one$it", "one"), start) }
            repeat(40) { queue.offer(work("three$it", "three", share = 3), start) }
            queue.drain().take(40).count { it.startsWith("three") } shouldBe 30
        }

        test("a workspace that never has more than one waiting gets no more than its share") {
            val queue = queue()
            repeat(90) { queue.offer(work("three$it", "three", share = 3), start) }
            queue.offer(work("one0", "one"), start)
            val taken = List(40) { i ->
                val next = checkNotNull(queue.next())
                if (next.workspace.value == "one") queue.offer(work("one${i + 1}", "one"), start)
                next.workspace.value
            }
            taken.count { it == "one" } shouldBe 10
        }

        test("work that cannot start in time is refused at once") {
            val queue = queue()
            repeat(10) { queue.offer(work("r$it"), start) }
            queue.offer(work("late", startByMillis = 50), start) shouldBe AdmissionDecision.TooLate(100.milliseconds)
            queue.offer(work("urgent", priority = 1, startByMillis = 50), start) shouldBe AdmissionDecision.Queued()
        }

        test("a full queue refuses work of the same priority, but displaces the last for work of a higher one") {
            val queue = queue(capacity = 2)
            queue.offer(work("a"), start)
            queue.offer(work("b"), start)
            queue.offer(work("c"), start) shouldBe AdmissionDecision.Busy(20.milliseconds)
            val decision = queue.offer(work("d", priority = 1), start)
            decision.shouldBeInstanceOf<AdmissionDecision.Queued>().displaced?.request shouldBe RequestId("b")
            queue.drain() shouldBe listOf("d", "a")
        }

        test("a queue filled by one workspace displaces its last work for another workspace") {
            val queue = queue(capacity = 4)
            repeat(4) { queue.offer(work("large$it", "large"), start) }
            val decision = queue.offer(work("small", "small"), start)
            decision.shouldBeInstanceOf<AdmissionDecision.Queued>().displaced?.request shouldBe RequestId("large3")
        }

        test("expired work is removed and not run") {
            val queue = queue()
            queue.offer(work("a", startByMillis = 1_000), start)
            queue.offer(work("b", startByMillis = 5_000), start)
            queue.expire(start + 2.seconds).map { it.request.value } shouldBe listOf("a")
            queue.remove(RequestId("b"))?.request shouldBe RequestId("b")
            queue.size shouldBe 0
        }

        test("all queued work leaves exactly once and the capacity holds") {
            checkAll(PropTestConfig(seed = SEED, iterations = 300), Arb.list(Arb.int(0..9), 1..200), Arb.int()) {
                    steps,
                    seed,
                ->
                val random = Random(seed)
                val queue = queue(capacity = 8)
                val queued = mutableListOf<RequestId>()
                val left = mutableListOf<RequestId>()
                var now = start
                steps.forEachIndexed { i, step ->
                    now += step.milliseconds
                    left += queue.expire(now).map { it.request }
                    if (step > 6) queue.next()?.let { left += it.request }
                    val startBy = (now - start).inWholeMilliseconds.toInt() + random.nextInt(100)
                    val work = work("r$i", "w${random.nextInt(3)}", random.nextInt(3), startBy, random.nextInt(1, 4))
                    val decision = queue.offer(work, now)
                    if (decision is AdmissionDecision.Queued) queued += work.request
                    (decision as? AdmissionDecision.Queued)?.displaced?.let { left += it.request }
                    queue.size shouldBeLessThanOrEqual 8
                }
                left += queue.drain().map { RequestId(it) }
                left shouldContainExactlyInAnyOrder queued
            }
        }
    })
