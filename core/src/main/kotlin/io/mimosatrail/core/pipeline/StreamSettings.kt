package io.mimosatrail.core.pipeline

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the streams of an entry.
 *
 * A stream without a token for [suspectFactor] times its inter-token time, at least [suspectFloor], has its stages
 * probed; the answers are weighed after [probeWait]. Before the first token of a generation [prefillFloor] and the
 * predicted prefill time take their place. [prefillPerPosition] is the prediction before anything was observed.
 * In each [slowPeriod] one stream, and one more for every [streamsPerSlowMove] open streams, may leave a slow stage.
 * A silent stage without replacement is waited for up to [silenceLimit] since the last token.
 */
class StreamSettings(
    val suspectFactor: Int = 4,
    val suspectFloor: Duration = 150.milliseconds,
    val probeWait: Duration = 100.milliseconds,
    val prefillFloor: Duration = 500.milliseconds,
    val prefillPerPosition: Duration = 1.milliseconds,
    val maxRecoveries: Int = 8,
    val aliveEvery: Duration = 2.seconds,
    val slowPeriod: Duration = 1.seconds,
    val streamsPerSlowMove: Int = 10,
    val silenceLimit: Duration = 10.seconds,
)
