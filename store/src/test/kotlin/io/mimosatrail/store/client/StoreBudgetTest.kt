package io.mimosatrail.store.client

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val get = StoreCommand.Get(StoreKey("k"))
private val start = Moment(0)

class StoreBudgetTest :
    FunSpec({
        test("calls over the rate limit are delayed, and rejected if the delay would exceed the longest wait") {
            val limiter = RateLimiter(perSecond = 10.0, burstSeconds = 0.2, maxWait = 150.milliseconds)
            List(5) { limiter.reserve(start) } shouldContainExactly
                listOf(Duration.ZERO, Duration.ZERO, 100.milliseconds, null, null)
            limiter.reserve(start + 10.seconds) shouldBe Duration.ZERO
        }

        test("the breaker opens after consecutive failures, allows one probe, and closes when a probe succeeds") {
            val breaker = StoreBreaker(StoreBudget(failuresToOpen = 3, openFor = 1.seconds), Random(1))
            repeat(3) { breaker.onResult(start, failed = true) }
            breaker.tryAcquire(start + 400.milliseconds) shouldBe false
            breaker.tryAcquire(start + 2.seconds) shouldBe true
            breaker.tryAcquire(start + 2.seconds) shouldBe false
            breaker.onResult(start + 2.seconds, failed = true)
            breaker.tryAcquire(start + 2.seconds + 900.milliseconds) shouldBe false
            breaker.tryAcquire(start + 6.seconds) shouldBe true
            breaker.onResult(start + 6.seconds, failed = false)
            List(2) { breaker.tryAcquire(start + 6.seconds) } shouldContainExactly listOf(true, true)
        }

        // Guards against an outage that seems to last longer since the last probe of it gets no answer.
        test("a probe without an answer does not hold back the next one") {
            val breaker = StoreBreaker(StoreBudget(failuresToOpen = 1, maxOpenFor = 300.milliseconds), Random(1))
            breaker.onResult(start, failed = true)
            breaker.tryAcquire(start + 1.seconds) shouldBe true
            breaker.tryAcquire(start + 1.seconds + 450.milliseconds) shouldBe true
        }

        test("a failure that was sent before the last probe does not delay the next one") {
            val breaker = StoreBreaker(StoreBudget(failuresToOpen = 1, maxOpenFor = 300.milliseconds), Random(1))
            breaker.onResult(start, failed = true)
            breaker.tryAcquire(start + 1.seconds) shouldBe true
            breaker.onResult(start + 1.seconds + 440.milliseconds, failed = true)
            breaker.tryAcquire(start + 1.seconds + 450.milliseconds) shouldBe true
        }

        test("an open breaker replies that the call was not done, and calls are counted by kind and outcome") {
            val meters = SimpleMeterRegistry()
            val failing = budgetedStore(
                { StoreReply.Uncertain("down") },
                StoreBudget(failuresToOpen = 2, openFor = 60.seconds),
                meters,
                clock = { start },
                random = Random(1),
            )
            List(3) { failing(get) }.map { it::class } shouldContainExactly
                listOf(StoreReply.Uncertain::class, StoreReply.Uncertain::class, StoreReply.NotDone::class)
            meters.counter("mimosatrail.store.calls", "kind", "get", "end", "uncertain").count() shouldBe 2.0
            meters.counter("mimosatrail.store.calls", "kind", "get", "end", "breaker").count() shouldBe 1.0
        }
    })
