package io.mimosatrail.bench.capacity

import io.mimosatrail.bench.fleet.Fleet
import io.mimosatrail.bench.run.Bench
import io.mimosatrail.bench.run.Figure
import io.mimosatrail.daemon.settings.UpstreamKind
import io.mimosatrail.logging.LogFormat
import io.mimosatrail.logging.LogLevel
import io.mimosatrail.logging.setUpLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val PERCENT = "% of a core"

/** Processor time that the control work of a node may use. */
private const val BUDGET_PERCENT = 1.6
private const val MICROS_PER_SECOND = 1_000_000.0
private val settle = 2.seconds

/** Processor time of daemons without callers and of their stand-ins, compared with the budget for control work. */
internal val idleBench = Bench("idle", "processor time of a daemon without callers") { options ->
    setUpLogging(LogFormat.TEXT, LogLevel.ERROR)
    val window = if (options.quick) 4.seconds else 20.seconds
    val warmUps = if (options.quick) 0 else WARM_UPS
    val series = Series("idle daemons", PERCENT, "daemon", listOf(2, 4, 8, 16), warmUps) { idlePercent(it, window) }
    series.measure(options.seed).map { it.copy(bench = "idle").withBudget() }
}

private fun Figure.withBudget() =
    if (figure.endsWith("per daemon")) copy(target = BUDGET_PERCENT, met = value <= BUDGET_PERCENT) else this

private fun idlePercent(daemons: Int, window: Duration): Double = runBlocking {
    Fleet("kiruna").use { fleet ->
        val upstream = fleet.startPlainService()
        repeat(daemons / 2) {
            fleet.startEntry("entry-$it")
            fleet.startSidecar("defects-$it", "defects", UpstreamKind.PLAIN, upstream.url)
        }
        delay(settle)
        val before = processMicros()
        delay(window)
        val used = processMicros() - before
        100 * used / MICROS_PER_SECOND / (window / 1.seconds)
    }
}
