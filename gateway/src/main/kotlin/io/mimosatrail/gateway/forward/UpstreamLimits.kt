package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.limits.AnnouncedRates
import io.mimosatrail.core.registry.RegistryChange
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logEvent

/** Limits that upstreams announce in their answers on the requests that they accept from all entries together. */
internal class UpstreamLimits(private val clock: Clock) {
    private val rates = AnnouncedRates()

    /** Requests per second that [upstream] accepts from all entries together, or null if there is no limit. */
    operator fun get(upstream: InstanceId): Double? = rates[upstream]

    /** Records the limit in an answer to a request sent at [sentAt]; [perSecond] is null if it announces none. */
    fun onAnswer(upstream: InstanceId, perSecond: Double?, sentAt: Moment) {
        if (rates.onAnswer(upstream, perSecond, sentAt, clock())) log(upstream, "answer")
    }

    /** Records the limit in an answer to a control call, most of which announce none even if there is one. */
    fun onControlAnswer(upstream: InstanceId, perSecond: Double) {
        if (rates.onAnswer(upstream, perSecond, clock(), clock())) log(upstream, "control-answer")
    }

    /** Forgets the limits of upstreams that restarted or left. */
    fun onRegistry(changes: List<RegistryChange>) = rates.onRegistry(changes)

    private fun log(upstream: InstanceId, source: String) =
        logEvent("limits", "announced", "upstream" to upstream, "per-second" to rates[upstream], "source" to source)
}
