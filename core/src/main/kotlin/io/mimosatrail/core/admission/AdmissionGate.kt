package io.mimosatrail.core.admission

import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Admits work to one upstream: up to [limit] requests run at once, further ones wait in a queue of up to [capacity].
 * Not thread-safe.
 *
 * Each request offered is started or refused exactly once, unless its caller disconnects while it waits.
 */
class AdmissionGate(private val limit: ConcurrencyLimit, capacity: Int) {
    private val queue = AdmissionQueue(capacity, ::predictTime)
    private val startTimes = HashMap<RequestId, Moment>()
    private var meanRunTime: Duration = 1.seconds

    /** Number of requests that run. */
    val running: Int get() = startTimes.size

    /** Number of requests that wait. */
    val waiting: Int get() = queue.size

    /** Starts [work] at once if the limit allows it and nothing waits; otherwise queues or refuses it. */
    fun offer(work: QueuedWork, now: Moment): List<GateEffect> {
        val expired = expire(now)
        if (startTimes.size < limit.current && queue.size == 0) return expired + start(work, now)
        return expired + when (val decision = queue.offer(work, now)) {
            is AdmissionDecision.Queued -> listOfNotNull(decision.displaced?.let { refuse(it, RefusalReason.BUSY) })
            is AdmissionDecision.Busy -> listOf(refuse(work, RefusalReason.BUSY))
            is AdmissionDecision.TooLate -> listOf(refuse(work, RefusalReason.BUSY))
        } + startWaiting(now)
    }

    /** Handles the end of [request], or the disconnect of its caller while it waits, and starts waiting work. */
    fun onEnded(request: RequestId, now: Moment): List<GateEffect> {
        queue.remove(request)
        startTimes.remove(request)?.let { startTime ->
            meanRunTime = meanRunTime * (1 - MEAN_WEIGHT) + (now - startTime) * MEAN_WEIGHT
        }
        return expire(now) + startWaiting(now)
    }

    /** Refuses work that waited too long and starts waiting work that the limit allows. */
    fun onTick(now: Moment): List<GateEffect> = expire(now) + startWaiting(now)

    private fun startWaiting(now: Moment): List<GateEffect> {
        val started = mutableListOf<GateEffect>()
        while (startTimes.size < limit.current) started += start(queue.next() ?: break, now)
        return started
    }

    private fun start(work: QueuedWork, now: Moment): GateEffect {
        check(work.request !in startTimes) { "request ${work.request} is started twice" }
        startTimes[work.request] = now
        return GateEffect.Start(work)
    }

    private fun expire(now: Moment) = queue.expire(now).map { refuse(it, RefusalReason.BUSY) }

    private fun refuse(work: QueuedWork, reason: RefusalReason) = GateEffect.Refuse(work, reason, predictTime(1.0))

    private fun predictTime(cost: Double): Duration = meanRunTime * (cost / limit.current)

    private companion object {
        /** Weight of the newest run time in the moving average. */
        const val MEAN_WEIGHT = 0.02
    }
}
