package io.mimosatrail.core.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SEED = 20_261_204L

private val start = Moment(0)

private fun gate(open: Int, capacity: Int = 10) =
    AdmissionGate(ConcurrencyLimit(ConcurrencySettings(minimum = open, maximum = open, initial = open)), capacity)

private fun work(name: String, wait: Duration = 60.seconds, now: Moment = start, priority: Int = 10) =
    QueuedWork(RequestId(name), WorkspaceId("w"), priority, now + wait)

private fun List<GateEffect>.started() = filterIsInstance<GateEffect.Start>().map { it.work.request.value }

private fun List<GateEffect>.refused() = filterIsInstance<GateEffect.Refuse>().map { it.work.request.value }

class AdmissionGateTest :
    FunSpec({
        test("work starts while the limit allows it, then waits until a request ends") {
            val gate = gate(open = 1)
            gate.offer(work("a"), start).started() shouldBe listOf("a")
            gate.offer(work("b"), start) shouldBe emptyList()
            gate.onEnded(RequestId("a"), start + 1.seconds).started() shouldBe listOf("b")
        }

        test("work that has waited too long is refused and not started") {
            val gate = gate(open = 1)
            gate.offer(work("a"), start)
            gate.offer(work("b", wait = 2.seconds), start)
            gate.onEnded(RequestId("a"), start + 3.seconds).refused() shouldBe listOf("b")
        }

        test("work whose caller disconnects while it waits never starts") {
            val gate = gate(open = 1)
            gate.offer(work("a"), start)
            gate.offer(work("b"), start)
            gate.onEnded(RequestId("b"), start)
            gate.onEnded(RequestId("a"), start) shouldBe emptyList()
        }

        test("slow steps lower the limit and fast ones raise it while it is reached") {
            val limit = ConcurrencyLimit(ConcurrencySettings(initial = 100, targetStepTime = 10.milliseconds))
            var now = start
            fun steps(time: Duration, open: () -> Int) = repeat(100) {
                now += 100.milliseconds
                limit.onStep(time, open(), now)
            }
            steps(50.milliseconds) { limit.current }
            val low = limit.current
            low shouldBeLessThan 20
            steps(5.milliseconds) { 0 }
            limit.current shouldBe low
            steps(5.milliseconds) { limit.current }
            (limit.current > 2 * low) shouldBe true
        }

        test("each request is started or refused exactly once and no more run than allowed") {
            checkAll(PropTestConfig(seed = SEED, iterations = 300), Arb.int()) { seed ->
                val random = Random(seed)
                val gate = gate(open = 3, capacity = 4)
                val running = mutableListOf<String>()
                val settled = mutableListOf<String>()
                var now = start
                repeat(100) { i ->
                    now += random.nextInt(50).milliseconds
                    val effects = when {
                        running.isNotEmpty() && random.nextBoolean() ->
                            gate.onEnded(RequestId(running.removeAt(random.nextInt(running.size))), now)

                        else -> gate.offer(work("r$i", random.nextInt(5_000).milliseconds, now, random.nextInt(2)), now)
                    }
                    running += effects.started()
                    settled += effects.started() + effects.refused()
                    settled.distinct().size shouldBe settled.size
                    (running.size <= 3) shouldBe true
                    gate.running shouldBe running.size
                }
            }
        }
    })
