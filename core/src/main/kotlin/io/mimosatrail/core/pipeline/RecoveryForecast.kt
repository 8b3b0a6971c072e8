package io.mimosatrail.core.pipeline

import kotlin.time.Duration

/**
 * State of a stream that has to recover, as input for a [RecoveryForecast].
 *
 * [positions] is the length of the prompt and the delivered tokens, [stages] the number of stages in the chain.
 * [prefillPerPosition] is the mean prefill time of one position through all stages, [interToken] the mean time between
 * two tokens.
 */
data class RecoverySituation(
    val positions: Int,
    val stages: Int,
    val prefillPerPosition: Duration,
    val interToken: Duration,
)

/** Predicts the time until the next token when a stream recovers with the given strategy. */
typealias RecoveryForecast = (RecoveryStrategy, RecoverySituation) -> Duration

/** Forecast from observed times. A replacement repeats one stage's share of the prefill, a new chain all of it. */
val observedForecast: RecoveryForecast = { strategy, situation ->
    val prefill = situation.prefillPerPosition * situation.positions
    when (strategy) {
        RecoveryStrategy.RESUME -> situation.interToken
        RecoveryStrategy.REPLACE -> situation.interToken + prefill / situation.stages
        RecoveryStrategy.REROUTE -> situation.interToken + prefill
    }
}
