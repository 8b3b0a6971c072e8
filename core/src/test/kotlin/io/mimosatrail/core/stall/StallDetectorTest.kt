package io.mimosatrail.core.stall

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import kotlin.time.Duration.Companion.milliseconds

private data class StallCase(val name: String, val streams: List<StreamActivity>, val suspects: Set<String>)

private fun stream(millis: Int, vararg engines: String) = StreamActivity(engines.map(::InstanceId), millis.milliseconds)

private val cases = listOf(
    StallCase("active streams raise no suspicion", List(5) { stream(30, "a", "b") }, emptySet()),
    StallCase("two silent streams may be a coincidence", List(2) { stream(200, "a", "b") }, emptySet()),
    StallCase(
        "engines that three silent streams share are suspected",
        List(3) {
            stream(90, "a", "b")
        },
        setOf("a", "b"),
    ),
    StallCase(
        "an active stream rules out the engines on its path",
        List(3) { stream(90, "a", "b", "c") } + stream(10, "a", "c"),
        setOf("b"),
    ),
    StallCase("three streams that missed one event are not enough", List(3) { stream(60, "a", "b") }, emptySet()),
    StallCase("a larger group is suspected after a shorter silence", List(6) { stream(60, "a", "b") }, setOf("a", "b")),
    StallCase(
        "a stream that missed one event still rules out its engines while others are silent for longer",
        List(3) { stream(90, "a", "b") } + stream(60, "b", "c"),
        setOf("a"),
    ),
    StallCase(
        "an engine on too few silent streams is not suspected",
        List(3) { stream(90, "a", "b") } + stream(90, "d", "b"),
        setOf("a", "b"),
    ),
    StallCase(
        "a last stage shared by several chains is found",
        List(2) { stream(90, "a", "z") } + List(2) { stream(90, "b", "z") } + stream(5, "a", "y") + stream(5, "b", "y"),
        setOf("z"),
    ),
)

class StallDetectorTest :
    FunSpec({
        withData<StallCase>({ it.name }, cases) { case ->
            StallDetector().findSuspects(case.streams).map { it.value } shouldContainExactlyInAnyOrder case.suspects
        }

        test("a process is receiving if at least one stream is active") {
            StallDetector().isReceiving(List(4) { stream(500, "a") }) shouldBe false
            StallDetector().isReceiving(listOf(stream(500, "a"), stream(20, "b"))) shouldBe true
        }
    })
