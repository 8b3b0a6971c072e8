package io.mimosatrail.core.pipeline

import kotlin.time.Duration

/** What is known about a stream when it has to recover. [prefillPerPosition] is the observed time over all stages. */
data class RecoverySituation(
    val positions: Int,
    val stages: Int,
    val prefillPerPosition: Duration,
    val interToken: Duration,
)

/** Predicts the time until the next token for each way of recovery. */
typealias RecoveryForecast = (RecoveryWay, RecoverySituation) -> Duration

/** Forecast from observed times: a replacement repeats one stage's share of the prefill, a new chain all of it. */
val observedForecast: RecoveryForecast = { way, situation ->
    val prefill = situation.prefillPerPosition * situation.positions
    when (way) {
        RecoveryWay.RESUME -> situation.interToken
        RecoveryWay.REPLACE -> situation.interToken + prefill / situation.stages
        RecoveryWay.REROUTE -> situation.interToken + prefill
    }
}
