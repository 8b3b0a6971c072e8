package io.mimosatrail.bench.recovery

import io.mimosatrail.core.pipeline.RecoveryForecast
import io.mimosatrail.core.pipeline.RecoveryStrategy
import io.mimosatrail.core.pipeline.StageSettings
import io.mimosatrail.core.pipeline.StreamSettings
import io.mimosatrail.core.pipeline.observedForecast
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/**
 * Recovery of a stream from the loss of a stage.
 *
 * If [isCrashSilent], the connections of the lost stage stay open, as after the loss of a machine.
 */
internal enum class Strategy(
    val label: String,
    val forecast: RecoveryForecast,
    val stage: StageSettings,
    val stream: StreamSettings = StreamSettings(),
    val isCrashSilent: Boolean = false,
) {
    REPLACE("replace", observedForecast, StageSettings()),
    REPLACE_FROM_SNAPSHOT("replace-snapshot", observedForecast, StageSettings(snapshotTokens = 16)),
    REPLACE_SILENT("replace-silent", observedForecast, StageSettings(), isCrashSilent = true),
    REROUTE("reroute", rerouteForecast, StageSettings()),
    RESTART("restart", observedForecast, StageSettings(), StreamSettings(maxRecoveries = 0)),
}

/** Speed of the links between stages. */
internal enum class LinkSpeed(val label: String, val bytesPerSecond: Double) {
    FAST("10gbit", 1.25e9),
    MIDDLE("1gbit", 1.25e8),
    SLOW("100mbit", 1.25e7),
}

/** A combination of prompt length in tokens, link speed and strategy. */
internal data class RecoveryCase(val promptTokens: Int, val link: LinkSpeed, val strategy: Strategy) {
    val name: String get() = "stall-${strategy.label}-$promptTokens-${link.label}"
}

/** Forecast that makes rerouting cheaper than any other strategy. */
private val rerouteForecast: RecoveryForecast = { strategy, _ ->
    if (strategy == RecoveryStrategy.REROUTE) Duration.ZERO else 1.hours + 1.seconds
}
