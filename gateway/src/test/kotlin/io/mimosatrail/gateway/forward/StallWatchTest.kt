package io.mimosatrail.gateway.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.mimosatrail.core.balance.UpstreamTraffic
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.core.stall.StreamActivity
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.wire.EngineReport
import kotlinx.coroutines.coroutineScope
import kotlin.time.Duration.Companion.milliseconds

private val alive = EngineReport(layers = null, isBusy = false, orders = 0, slowness = 1.0, stalled = emptyList())
private val engines = listOf("a", "b", "c").map { engineRecord(it) }
private val silentCrowd = List(4) { StreamActivity(listOf(InstanceId("a"), InstanceId("b")), 120.milliseconds) }
private val goingOn = StreamActivity(listOf(InstanceId("c")), 10.milliseconds)

/** Ticks at [times] while the streams show [signs]; answers the engines asked and those found down. */
private suspend fun watch(
    signs: List<StreamActivity>,
    dead: Set<String>,
    times: List<Int> = listOf(0, 20),
): Pair<List<String>, List<String>> {
    val control = FakeEngines { id -> alive.takeIf { id.value !in dead } }
    val registry = UpstreamRegistry().also { it.onListing(engines, Moment(0)) }
    val down = mutableListOf<InstanceId>()
    coroutineScope {
        val watch = StallWatch(registry, UpstreamTraffic(), control, { signs }, { Moment(0) }, this) { down += it }
        times.forEach { watch.tick(Moment(0) + it.milliseconds) }
    }
    return control.asked.map { it.value } to down.map { it.value }
}

class StallWatchTest :
    FunSpec({
        test("of the engines that a silent crowd shares, the one without a sign of life is down") {
            val (asked, down) = watch(silentCrowd + goingOn, dead = setOf("b"))
            asked shouldContainExactlyInAnyOrder listOf("a", "b")
            down shouldContainExactly listOf("b")
        }

        test("engines that answer are slow, not down, and are not asked again at once") {
            val (asked, down) = watch(silentCrowd + goingOn, dead = emptySet(), times = listOf(0, 20, 40, 60, 80))
            asked shouldContainExactlyInAnyOrder listOf("a", "b")
            down.shouldBeEmpty()
        }

        test("a process that is cut off from all engines accuses none") {
            watch(silentCrowd, dead = setOf("a", "b", "c")).second.shouldBeEmpty()
        }

        test("after a pause of the process itself silence says nothing") {
            watch(silentCrowd + goingOn, dead = setOf("b"), times = listOf(0, 1_500)).first.shouldBeEmpty()
        }
    })
