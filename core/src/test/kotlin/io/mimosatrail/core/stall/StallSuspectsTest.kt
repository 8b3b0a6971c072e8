package io.mimosatrail.core.stall

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import kotlin.time.Duration.Companion.milliseconds

private data class StallCase(val name: String, val signs: List<StreamSign>, val suspects: Set<String>)

private fun sign(millis: Int, vararg engines: String) = StreamSign(engines.map(::InstanceId), millis.milliseconds)

private val cases = listOf(
    StallCase("streams that go on raise no suspicion", List(5) { sign(30, "a", "b") }, emptySet()),
    StallCase("two silent streams may be chance", List(2) { sign(200, "a", "b") }, emptySet()),
    StallCase("a silent crowd raises suspicion of all that it shares", List(3) { sign(90, "a", "b") }, setOf("a", "b")),
    StallCase(
        "a stream that goes on clears the engines on its path",
        List(3) { sign(90, "a", "b", "c") } + sign(10, "a", "c"),
        setOf("b"),
    ),
    StallCase("three streams that missed one event are no crowd", List(3) { sign(60, "a", "b") }, emptySet()),
    StallCase("a larger crowd is believed sooner", List(6) { sign(60, "a", "b") }, setOf("a", "b")),
    StallCase(
        "a stream that missed one event clears nothing for those that are silent longer",
        List(3) { sign(90, "a", "b") } + sign(60, "b", "c"),
        setOf("a"),
    ),
    StallCase(
        "an engine that too few silent streams pass is not suspected",
        List(3) { sign(90, "a", "b") } + sign(90, "d", "b"),
        setOf("a", "b"),
    ),
    StallCase(
        "a last stage that several chains share is found behind all of them",
        List(2) { sign(90, "a", "z") } + List(2) { sign(90, "b", "z") } + sign(5, "a", "y") + sign(5, "b", "y"),
        setOf("z"),
    ),
)

class StallSuspectsTest :
    FunSpec({
        withData<StallCase>({ it.name }, cases) { case ->
            StallSuspects().of(case.signs).map { it.value } shouldContainExactlyInAnyOrder case.suspects
        }

        test("a process that hears nothing at all is not hearing") {
            StallSuspects().isHearing(List(4) { sign(500, "a") }) shouldBe false
            StallSuspects().isHearing(listOf(sign(500, "a"), sign(20, "b"))) shouldBe true
        }
    })
