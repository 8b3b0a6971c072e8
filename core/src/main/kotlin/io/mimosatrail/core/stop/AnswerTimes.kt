package io.mimosatrail.core.stop

import kotlin.time.Duration

/**
 * How long the complete answers of each kind of request [K] take, estimated from recent ones as the smoothed mean and
 * its deviation are for the retransmission timeout of TCP (RFC 6298). Not thread-safe.
 */
class AnswerTimes<K> {
    private class Estimate(var mean: Duration, var deviation: Duration)

    private val estimates = HashMap<K, Estimate>()

    /** Records that a request of [kind] was answered in full after [time]. */
    fun onAnswer(kind: K, time: Duration) {
        val known = estimates[kind]
        if (known == null) {
            estimates[kind] = Estimate(time, time / 2)
            return
        }
        known.deviation += ((time - known.mean).absoluteValue - known.deviation) * DEVIATION_GAIN
        known.mean += (time - known.mean) * MEAN_GAIN
    }

    /** The time within which nearly all requests of [kind] are answered; null if none has been. */
    fun upperBound(kind: K): Duration? = estimates[kind]?.let { it.mean + it.deviation * DEVIATIONS }

    /** The time within which most requests of [kind] are answered; null if none has been. */
    fun usual(kind: K): Duration? = estimates[kind]?.let { it.mean + it.deviation }

    private companion object {
        const val MEAN_GAIN = 1.0 / 8
        const val DEVIATION_GAIN = 1.0 / 4
        const val DEVIATIONS = 4
    }
}
