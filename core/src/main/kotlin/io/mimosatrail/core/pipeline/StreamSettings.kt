package io.mimosatrail.core.pipeline

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings for failure detection and recovery of the streams at an entry.
 *
 * @property suspectFactor a stream is probed after this multiple of its mean inter-token time without a token
 * @property suspectFloor minimum time without a token before a stream is probed
 * @property probeTimeout minimum time to wait for answers to probes before the cause of a stall is decided
 * @property prefillFloor additional time, besides the predicted prefill time, before the first token of a generation
 * @property prefillPerPosition predicted prefill time per position until one has been observed
 * @property maxRecoveries number of recoveries after which the next failure ends a stream
 * @property keepAliveInterval time between two keep-alive messages to each stage in use
 * @property slowStagePeriod period of the budget for moving streams away from slow stages
 * @property streamsPerSlowMove each period permits one move, plus one for every this many open streams
 * @property silenceLimit how long to wait, from the last token, for a silent stage that has no replacement
 */
class StreamSettings(
    val suspectFactor: Int = 4,
    val suspectFloor: Duration = 150.milliseconds,
    val probeTimeout: Duration = 100.milliseconds,
    val prefillFloor: Duration = 500.milliseconds,
    val prefillPerPosition: Duration = 1.milliseconds,
    val maxRecoveries: Int = 8,
    val keepAliveInterval: Duration = 2.seconds,
    val slowStagePeriod: Duration = 1.seconds,
    val streamsPerSlowMove: Int = 10,
    val silenceLimit: Duration = 10.seconds,
)
