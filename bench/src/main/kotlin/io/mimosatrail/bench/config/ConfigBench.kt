package io.mimosatrail.bench.config

import io.mimosatrail.bench.run.Bench
import io.mimosatrail.bench.run.BenchOptions
import io.mimosatrail.bench.run.Figure
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.spread.SpreadSettings
import io.mimosatrail.protocol.ConfigFetch
import io.mimosatrail.protocol.ConfigState
import io.mimosatrail.protocol.Envelope
import io.mimosatrail.protocol.PeerCodec
import io.mimosatrail.protocol.PeerMessage
import io.mimosatrail.protocol.RevisionNotice
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val PLACES = 6
private const val FRAME_HEADER_BYTES = 4
private const val BYTES_TARGET = 5_000.0
private const val CORE_TARGET_PERCENT = 1.6
private const val READS_TARGET = 2_000.0
private val SIZES = listOf(10, 100, 330, 930)
private val STEADY_PERIOD = 30.seconds

/** Distribution of the configuration in virtual time. One-way latency: 1 ms within a place, 8 ms between places. */
internal val configBench =
    Bench("config", "spread of a ticket and its cost, by fleet size, in virtual time") { options ->
        SIZES.filter { !options.quick || it <= 330 }.flatMap { SpreadMeasurement(it, options).run() }
    }

private class SpreadMeasurement(private val size: Int, private val options: BenchOptions) {
    private val fleet = SpreadSimulation(options.seed)

    fun run(): List<Figure> = restart() + steadyState() + spread()

    private fun restart(): List<Figure> {
        repeat(size) { fleet.start(PlaceId("place${it % PLACES}")) }
        fleet.relist()
        fleet.store.accept()
        val perSecond = List(10) {
            val before = fleet.store.calls
            fleet.run(1.seconds)
            fleet.store.calls - before
        }
        check(fleet.aliveNodes.all { it.isReady(fleet.now) }) { "some processes did not become ready within 10 s" }
        val worst = perSecond.max().toDouble()
        return listOf(figure("restart of all: store calls in the worst second", "1/s", worst, target = READS_TARGET))
    }

    private fun steadyState(): List<Figure> {
        val calls = fleet.store.calls
        val messageBytes = messageBytes()
        val start = TimeSource.Monotonic.markNow()
        fleet.run(STEADY_PERIOD)
        val cpu = start.elapsedNow() / STEADY_PERIOD / size * 100
        val seconds = STEADY_PERIOD.inWholeSeconds.toDouble()
        val callRate = (fleet.store.calls - calls) / seconds
        val watchCallRate = size / SpreadSettings().watchWait.inWholeMilliseconds.milliseconds.inWholeSeconds.toDouble()
        return listOf(
            figure(
                "store calls, every process watching as baseline (calculated)",
                "1/s",
                callRate,
                baseline = watchCallRate,
            ),
            figure(
                "messages sent and received by a process",
                "B/s",
                (messageBytes() - messageBytes) * 2 / seconds / size,
                BYTES_TARGET,
            ),
            figure(
                "processor time of the decisions of a process, sockets left out",
                "% of a core",
                cpu,
                CORE_TARGET_PERCENT,
            ),
        )
    }

    private fun spread(): List<Figure> {
        fleet.loss = 0.0
        val withoutFaults = secondsUntilInForce()
        fleet.loss = 0.05
        fleet.store.latency = 150.milliseconds
        return listOf(
            figure("acceptance to in force at the last", "s", withoutFaults, target = 5.0),
            figure("the same with 5% loss and a store of 300 ms", "s", secondsUntilInForce(), target = 5.0),
        )
    }

    private fun secondsUntilInForce(): Double {
        fleet.store.accept()
        val time = fleet.timeUntilInForceEverywhere(fleet.store.revision, IN_FORCE_BOUND * 4)
        return time?.let { it.inWholeMilliseconds / 1e3 } ?: Double.POSITIVE_INFINITY
    }

    private fun messageBytes(): Double {
        val counts = fleet.counts
        return counts.fetches * sizeOf(ConfigFetch(REVISION)) + counts.states * sizeOf(ConfigState(REVISION)) +
            counts.notices * sizeOf(RevisionNotice(REVISION))
    }

    private fun sizeOf(message: PeerMessage): Double =
        (PeerCodec.encode(Envelope(message, REVISION, correlationId = 1_000_000)).size + FRAME_HEADER_BYTES).toDouble()

    private fun figure(name: String, unit: String, value: Double, target: Double? = null, baseline: Double? = null) =
        Figure("config", "N=$size $name", unit, value, baseline, target, target?.let { value <= it }, options.seed)

    private companion object {
        val REVISION = ConfigRevision(1_000_000)
    }
}
