package io.mimosatrail.bench.capacity

import io.mimosatrail.bench.fleet.Fleet
import io.mimosatrail.daemon.settings.UpstreamKind
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val MICROS_PER_SECOND = 1_000_000.0
private val settle = 2.seconds

/** Processor time of daemons without callers, their stand-ins included, against the daemons of one process. */
internal fun idleSeries(quick: Boolean): List<Series> {
    val window = if (quick) 2.seconds else 20.seconds
    val counts = listOf(2, 4, 8, 16)
    val warmUps = if (quick) 0 else WARM_UPS
    return listOf(Series("idle daemons", "% of a core", "daemon", counts, warmUps) { idlePercent(it, window) })
}

private fun idlePercent(daemons: Int, window: Duration): Double = runBlocking {
    Fleet("kiruna").use { fleet ->
        val upstream = fleet.plain()
        repeat(daemons / 2) {
            fleet.entry("entry-$it")
            fleet.sidecar("defects-$it", "defects", UpstreamKind.PLAIN, upstream.url)
        }
        delay(settle)
        val before = processMicros()
        delay(window)
        val used = processMicros() - before
        100 * used / MICROS_PER_SECOND / (window / 1.seconds)
    }
}
