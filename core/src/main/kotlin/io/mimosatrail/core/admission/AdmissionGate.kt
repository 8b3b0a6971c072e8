package io.mimosatrail.core.admission

import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Admits work to one upstream: up to [limit] at once, the rest in a bounded queue. Not thread-safe.
 *
 * Each offered work is started or refused exactly once, unless its caller leaves while it waits.
 */
class AdmissionGate(private val limit: ConcurrencyLimit, capacity: Int) {
    private val queue = AdmissionQueue(capacity, ::timeFor)
    private val open = HashMap<RequestId, Moment>()
    private var meanHold: Duration = 1.seconds

    /** Requests that run. */
    val running: Int get() = open.size

    /** Requests that wait. */
    val waiting: Int get() = queue.size

    /** Decides on [work]: started at once where there is room, else queued or refused. */
    fun offer(work: QueuedWork, now: Moment): List<GateEffect> {
        val expired = expire(now)
        if (open.size < limit.current && queue.size == 0) return expired + start(work, now)
        return expired + when (val decision = queue.offer(work, now)) {
            is AdmissionDecision.Queued -> listOfNotNull(decision.displaced?.let { refuse(it, RefusalReason.BUSY) })
            is AdmissionDecision.Busy -> listOf(refuse(work, RefusalReason.BUSY))
            is AdmissionDecision.TooLate -> listOf(refuse(work, RefusalReason.BUSY))
        } + startWaiting(now)
    }

    /** Notes that [request] has ended or that its caller has left, and starts what waits. */
    fun onEnded(request: RequestId, now: Moment): List<GateEffect> {
        queue.remove(request)
        open.remove(request)?.let { meanHold = meanHold * (1 - MEAN_WEIGHT) + (now - it) * MEAN_WEIGHT }
        return expire(now) + startWaiting(now)
    }

    /** Refuses what waited too long and starts what there is room for. */
    fun onTick(now: Moment): List<GateEffect> = expire(now) + startWaiting(now)

    private fun startWaiting(now: Moment): List<GateEffect> {
        val started = mutableListOf<GateEffect>()
        while (open.size < limit.current) started += start(queue.next() ?: break, now)
        return started
    }

    private fun start(work: QueuedWork, now: Moment): GateEffect {
        check(work.request !in open) { "request ${work.request} is started twice" }
        open[work.request] = now
        return GateEffect.Start(work)
    }

    private fun expire(now: Moment) = queue.expire(now).map { refuse(it, RefusalReason.BUSY) }

    private fun refuse(work: QueuedWork, reason: RefusalReason) = GateEffect.Refuse(work, reason, timeFor(1.0))

    private fun timeFor(cost: Double): Duration = meanHold * (cost / limit.current)

    private companion object {
        const val MEAN_WEIGHT = 0.02
    }
}
