package io.mimosatrail.core.time

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds

class TimerServiceTest :
    FunSpec({
        test("an action runs once a period, and only once when late by several periods") {
            val timers = TimerService { _, cause -> throw cause }
            val runs = mutableListOf<Moment>()
            timers.every("count", 10.milliseconds) { runs += it }
            val start = Moment(0)
            listOf(0, 5, 10, 45, 50, 55).forEach { timers.advance(start + it.milliseconds) }
            runs shouldBe listOf(0, 10, 45, 55).map { start + it.milliseconds }
        }

        test("the action of an ended subscription runs no more") {
            val timers = TimerService { _, cause -> throw cause }
            var runs = 0
            val end = timers.every("count", 10.milliseconds) { runs++ }
            timers.advance(Moment(0))
            end()
            timers.advance(Moment(1_000_000_000))
            runs shouldBe 1
        }

        // Guards against one failing action that keeps the actions after it from running.
        test("an action that throws ends neither the others nor its own next runs") {
            val failures = mutableListOf<String>()
            val timers = TimerService { name, cause -> failures += "$name: ${cause.message}" }
            val runs = mutableListOf<String>()
            timers.every("first", 10.milliseconds) { runs += "first" }
            timers.every("failing", 10.milliseconds) {
                runs += "failing"
                error("unforeseen")
            }
            timers.every("last", 10.milliseconds) { runs += "last" }
            listOf(0, 10).forEach { timers.advance(Moment(0) + it.milliseconds) }
            runs shouldBe listOf("first", "failing", "last", "first", "failing", "last")
            failures shouldBe listOf("failing: unforeseen", "failing: unforeseen")
        }
    })
