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

private val healthyReport =
    EngineReport(layers = null, isBusy = false, orders = 0, slowness = 1.0, stalled = emptyList())
private val engines = listOf("a", "b", "c").map { engineRecord(it) }
private val silentStreams = List(4) { StreamActivity(listOf(InstanceId("a"), InstanceId("b")), 120.milliseconds) }
private val activeStream = StreamActivity(listOf(InstanceId("c")), 10.milliseconds)

/** Ticks at [times], in milliseconds, with streams of [activities]. Returns the engines probed and those found down. */
private suspend fun watch(
    activities: List<StreamActivity>,
    unresponsive: Set<String>,
    times: List<Int> = listOf(0, 20),
): Pair<List<String>, List<String>> {
    val control = FakeEngines { id -> healthyReport.takeIf { id.value !in unresponsive } }
    val registry = UpstreamRegistry().also { it.onListing(engines, Moment(0)) }
    val down = mutableListOf<InstanceId>()
    coroutineScope {
        val watch = StallWatch(registry, UpstreamTraffic(), control, { activities }, { Moment(0) }, this) { down += it }
        times.forEach { watch.tick(Moment(0) + it.milliseconds) }
    }
    return control.probed.map { it.value } to down.map { it.value }
}

class StallWatchTest :
    FunSpec({
        test("of the engines that silent streams share, the one that does not respond is down") {
            val (probed, down) = watch(silentStreams + activeStream, unresponsive = setOf("b"))
            probed shouldContainExactlyInAnyOrder listOf("a", "b")
            down shouldContainExactly listOf("b")
        }

        test("engines that respond are not down and are not probed again at once") {
            val (probed, down) = watch(
                silentStreams + activeStream,
                unresponsive = emptySet(),
                times = listOf(0, 20, 40, 60, 80),
            )
            probed shouldContainExactlyInAnyOrder listOf("a", "b")
            down.shouldBeEmpty()
        }

        test("a process that is disconnected from all engines reports none as down") {
            watch(silentStreams, unresponsive = setOf("a", "b", "c")).second.shouldBeEmpty()
        }

        test("after a pause of the process itself, silent streams cause no probe") {
            watch(
                silentStreams + activeStream,
                unresponsive = setOf("b"),
                times = listOf(0, 1_500),
            ).first.shouldBeEmpty()
        }
    })
