package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.limits.RateReport
import io.mimosatrail.core.limits.RequestedPauses
import io.mimosatrail.core.limits.SharedRates
import io.mimosatrail.core.registry.RegistryChange
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.follow.RegisteredEntries
import io.mimosatrail.gateway.gossip.UpstreamObservations
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.wire.UpstreamNotice
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides whether this entry may send to an upstream, by what upstreams say in their answers: that they are leaving,
 * that they want a pause, or how many requests a second they accept from all entries together.
 *
 * Whatever chooses an upstream for a request asks [maySend] or excludes [exhausted] and [paused], and calls [onSend].
 * Control calls ask [mayCall]. Upstreams that are leaving are shown as draining by the registry.
 */
internal class UpstreamAccess(
    val self: InstanceId,
    registered: () -> RegisteredEntries,
    private val registry: UpstreamRegistry,
    private val observations: UpstreamObservations,
    private val clock: Clock,
) {
    private val rates = SharedRates(self, { registered().ids }, { registered().entries })
    private val pauses = RequestedPauses()

    /** Requests per second that [upstream] accepts from all entries together, or null if there is no limit. */
    operator fun get(upstream: InstanceId): Double? = rates[upstream]

    /** Records what [upstream] says about itself in the answer to a request sent at [sentAt]. */
    fun onAnswer(upstream: UpstreamRecord, notice: UpstreamNotice, sentAt: Moment) {
        onStrayAnswer(upstream, notice)
        if (rates.onAnswer(upstream.id, notice.announcedRate, sentAt, clock())) log(upstream.id, "answer")
    }

    /**
     * Records what [upstream] says about itself in the answer to a control call sent at [sentAt]. One without a rate
     * doesn't end the limit on requests: it may leave out what concerns requests only.
     */
    fun onControlAnswer(upstream: UpstreamRecord, notice: UpstreamNotice, sentAt: Moment) =
        if (notice.announcedRate == null) onStrayAnswer(upstream, notice) else onAnswer(upstream, notice, sentAt)

    /**
     * Records what [upstream] says about itself in an answer that belongs to another request. Its rate may be outdated,
     * but it doesn't come back after it has announced to leave.
     */
    fun onStrayAnswer(upstream: UpstreamRecord, notice: UpstreamNotice) {
        if (notice.isLeaving) observations.publishLeaving(upstream)
        val pause = notice.pause ?: return
        val current = registry[upstream.id]
        if (current != null && current.startedMillis > upstream.startedMillis) return
        if (!pauses.onRequested(upstream, pause, clock())) return
        logEvent("limits", "pause-requested", "upstream" to upstream.id, "for" to pause)
    }

    /** Records what the entry [peer] reported. */
    fun onReports(peer: InstanceId, reports: List<RateReport>) =
        rates.onReports(peer, reports, clock()).forEach { log(it, peer.value) }

    /** What this entry reports to the others. */
    fun reports(): List<RateReport> = rates.reports(clock())

    /** True if this entry may send a request to [upstream] now. */
    fun maySend(upstream: InstanceId): Boolean = mayCall(upstream) && rates.maySend(upstream, clock())

    /** True if this entry may call the control interface of [upstream] now. */
    fun mayCall(upstream: InstanceId): Boolean = pauses.remaining(upstream, clock()) == Duration.ZERO

    /** True if all upstreams of [target] are still registered, none of them is leaving and none wants a pause. */
    fun isUsable(target: Target): Boolean = target.upstreamIds.all { mayCall(it) && registry[it]?.isDraining == false }

    /** Upstreams to which this entry may not send a request now because of their limits. */
    fun exhausted(): Set<InstanceId> = rates.exhausted(clock())

    /** Upstreams that want nothing from this entry now, not even by way of another upstream. */
    fun paused(): Set<InstanceId> = pauses.paused(clock())

    /** Records that a request is about to be sent to [upstream]. */
    fun onSend(upstream: InstanceId) = rates.onSend(upstream, clock())

    /** Takes back [onSend] for a request that was not sent after all. */
    fun onNotSent(upstream: InstanceId) = rates.onNotSent(upstream, clock())

    /**
     * Time until one of [upstreams] may get a request if [waiting] others go first. Zero if one of them has no limit or
     * there is none, infinite if this entry has no share of any limit.
     */
    fun timeUntilSend(upstreams: List<InstanceId>, waiting: Int): Duration {
        val now = clock()
        val awake = upstreams.filter { mayCall(it) }
        if (awake.isEmpty()) return upstreams.minOfOrNull { pauses.remaining(it, now) } ?: Duration.ZERO
        val soonest = awake.minOf { rates.timeUntilSend(it, now) }
        val perSecond = awake.sumOf { rates.share(it, now) }
        val wait = if (perSecond > 0) soonest + 1.seconds * (waiting / perSecond) else Duration.INFINITE
        return if (wait.isFinite()) wait.coerceAtMost(LONGEST_RATE_WAIT) else wait
    }

    /** Removes the limits of upstreams that restarted or left. */
    fun onRegistry(changes: List<RegistryChange>) {
        rates.onRegistry(changes)
        pauses.onRegistry(changes)
    }

    private fun log(upstream: InstanceId, source: String) =
        logEvent("limits", "announced", "upstream" to upstream, "per-second" to rates[upstream], "source" to source)

    private companion object {
        /** Limits change within seconds, and another entry may have room earlier. */
        val LONGEST_RATE_WAIT = 3.seconds
    }
}
