package io.mimosatrail.core.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SEED = 20_261_204L

private val start = Moment(0)

private fun workspace(requests: Int = 10, tokens: Int = 100) =
    Workspace(WorkspaceId("captains"), emptyList(), requestsPerSecond = requests, tokensPerSecond = tokens)

class WorkspaceLimitsTest :
    FunSpec({
        test("one second's worth of requests passes at once and the next is refused with the time to wait") {
            val limits = WorkspaceLimits()
            val decisions = List(11) { limits.admit(workspace(), 1, 1.0, start) }
            decisions.count { it == LimitDecision.Admitted } shouldBe 10
            decisions.last() shouldBe LimitDecision.OverLimit(LimitKind.REQUESTS, 100.milliseconds)
            limits.admit(workspace(), 1, 1.0, start + 100.milliseconds) shouldBe LimitDecision.Admitted
        }

        test("a request over the token limit does not count against the request limit") {
            val limits = WorkspaceLimits()
            limits.admit(workspace(requests = 2), 100, 1.0, start) shouldBe LimitDecision.Admitted
            limits.admit(workspace(requests = 2), 50, 1.0, start) shouldBe
                LimitDecision.OverLimit(LimitKind.TOKENS, 500.milliseconds)
            limits.admit(workspace(requests = 2), 0, 1.0, start) shouldBe LimitDecision.Admitted
        }

        test("a request larger than the burst passes and later ones wait until the rate holds again") {
            val limits = WorkspaceLimits()
            limits.admit(workspace(), 500, 1.0, start) shouldBe LimitDecision.Admitted
            limits.admit(workspace(), 1, 1.0, start + 4.seconds).shouldBeInstanceOf<LimitDecision.OverLimit>()
            limits.admit(workspace(), 1, 1.0, start + 5.seconds) shouldBe LimitDecision.Admitted
        }

        test("a limit of zero refuses without a time to wait") {
            val limits = WorkspaceLimits()
            limits.admit(workspace(requests = 0), 1, 1.0, start + 60.seconds) shouldBe
                LimitDecision.OverLimit(LimitKind.REQUESTS, null)
        }

        test("no sequence of calls passes more than the rate allows plus one burst") {
            val calls = Arb.list(Arb.pair(Arb.int(0..200), Arb.int(1..20)), 1..200)
            checkAll(PropTestConfig(seed = SEED, iterations = 200), calls) { steps ->
                val bucket = TokenBucket(50.0, 50.0, start)
                var now = start
                var passed = 0
                for ((gap, amount) in steps) {
                    now += gap.milliseconds
                    if (bucket.tryTake(amount.toDouble(), now)) passed += amount
                }
                passed.toDouble() shouldBeLessThanOrEqualTo
                    50.0 + 50.0 * (now - start).inWholeMilliseconds / 1_000.0 + 1e-6
            }
        }
    })
