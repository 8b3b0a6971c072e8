package io.mimosatrail.core.limits

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.registry.RegistryChange
import io.mimosatrail.core.routing.DecayingCounter
import io.mimosatrail.core.routing.rendezvousSubset
import io.mimosatrail.core.routing.rendezvousWeight
import io.mimosatrail.core.time.Moment
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * This entry's shares of the limits that upstreams announce for all entries together.
 *
 * Entries report to each other the limits that they know and how many requests they send. Those that sent more recently
 * get a larger share. Entries without a recent report may not know of the limit; an equal share is reserved for each of
 * them. If there are many entries, only some of them use a limited upstream, since each may send one request at once.
 *
 * [registered] are the registered entries and [expectedEntries] is the least number of them to assume. Not thread-safe.
 */
class SharedRates(
    private val self: InstanceId,
    registered: () -> Set<InstanceId>,
    private val expectedEntries: () -> Int = { 1 },
) {
    private class PeerReport(val at: Moment, val recentSends: Double)

    /** The entries [ids] that may use a limit; [count] includes entries that are expected and not registered yet. */
    private class Users(val ids: List<InstanceId>, val count: Int)

    private class Upstream {
        val recentSends = DecayingCounter(SENDS_HALF_LIFE)
        val peers = HashMap<InstanceId, PeerReport>()
        var bucket: TokenBucket? = null
        var sharedAt: Moment? = null
        var limitEndedAt: Moment? = null
    }

    private val announced = AnnouncedRates()
    private val entries = RecentEntries(self, registered)
    private val upstreams = HashMap<InstanceId, Upstream>()

    /** Requests per second that [upstream] accepts from all entries together, or null if there is no limit. */
    operator fun get(upstream: InstanceId): Double? = announced[upstream]

    /** Records the limit in an answer, see [AnnouncedRates.onAnswer]. Returns true if the limit changed. */
    fun onAnswer(upstream: InstanceId, perSecond: Double?, sentAt: Moment, now: Moment): Boolean {
        val hasChanged = announced.onAnswer(upstream, perSecond, sentAt, now)
        if (hasChanged) onChanged(upstream, now)
        return hasChanged
    }

    /** Records what [peer] reported. Returns the upstreams whose limits changed. */
    fun onReports(peer: InstanceId, reports: List<RateReport>, now: Moment): List<InstanceId> {
        val valid = reports.filter { it.perSecond?.let { rate -> rate.isFinite() && rate >= 0 } ?: true }
        for (report in valid) row(report.upstream).peers[peer] = PeerReport(now, report.recentSends)
        val changed = valid.filter { report ->
            val learnedAt = now - report.ageMillis.milliseconds
            announced.onAnnouncement(AnnouncedRate(report.upstream, report.perSecond, learnedAt))
        }.map { it.upstream }
        changed.forEach { onChanged(it, now) }
        return changed
    }

    /** What this entry reports to the others: limits in force and those that ended a moment ago. */
    fun reports(now: Moment): List<RateReport> = announced.all
        .filter { it.perSecond != null || hasJustEnded(it.upstream, now) }
        .sortedByDescending { it.learnedAt }
        .take(MAX_REPORTS)
        .map { announcement ->
            RateReport(
                announcement.upstream,
                announcement.perSecond,
                (now - announcement.learnedAt).inWholeMilliseconds,
                upstreams[announcement.upstream]?.recentSends?.count(now) ?: 0.0,
            )
        }

    /** True if this entry may send a request to [upstream] now. */
    fun maySend(upstream: InstanceId, now: Moment): Boolean = timeUntilSend(upstream, now) == Duration.ZERO

    /** Upstreams with a limit to which this entry may not send a request now. */
    fun exhausted(now: Moment): Set<InstanceId> =
        announced.all.filter { it.perSecond != null && !maySend(it.upstream, now) }.mapTo(HashSet()) { it.upstream }

    /** Time until this entry may send a request to [upstream]; infinite if it gets no share of the limit. */
    fun timeUntilSend(upstream: InstanceId, now: Moment): Duration =
        bucket(upstream, now)?.timeUntil(1.0, now) ?: Duration.ZERO

    /** This entry's share of the limit of [upstream], in requests per second; infinite if there is no limit. */
    fun share(upstream: InstanceId, now: Moment): Double =
        bucket(upstream, now)?.ratePerSecond ?: Double.POSITIVE_INFINITY

    /** Records that a request is about to be sent to [upstream]. */
    fun onSend(upstream: InstanceId, now: Moment) {
        bucket(upstream, now)?.charge(1.0)
        row(upstream).recentSends.add(now)
    }

    /** Takes back [onSend] for a request that was not sent after all. */
    fun onNotSent(upstream: InstanceId, now: Moment) {
        bucket(upstream, now)?.refund(1.0)
        row(upstream).recentSends.remove(now)
    }

    /** Removes what is known of upstreams that restarted or left. */
    fun onRegistry(changes: List<RegistryChange>) {
        announced.onRegistry(changes)
        changes.filter { it.after == null }.forEach { upstreams -= it.id }
    }

    private fun hasJustEnded(upstream: InstanceId, now: Moment): Boolean =
        upstreams[upstream]?.limitEndedAt?.let { now - it < REPORTED_AFTER_END } ?: false

    private fun row(upstream: InstanceId): Upstream = upstreams.getOrPut(upstream) { Upstream() }

    private fun onChanged(upstream: InstanceId, now: Moment) {
        val row = row(upstream)
        row.sharedAt = null
        if (announced[upstream] == null) row.limitEndedAt = now
    }

    /** The tokens of this entry for requests to [upstream], null if it has no limit. */
    private fun bucket(upstream: InstanceId, now: Moment): TokenBucket? {
        val rate = announced[upstream]
        val row = row(upstream)
        if (rate == null) {
            row.bucket = null
            return null
        }
        val isCurrent = row.sharedAt?.let { now - it < SHARE_PERIOD } ?: false
        if (isCurrent && row.bucket != null) return row.bucket
        row.sharedAt = now
        val assumed = maxOf(rate, LEAST_RATE)
        val users = users(upstream, assumed, now)
        val share = if (self in users.ids) share(row, users, assumed, now) else 0.0
        val burst = if (share > 0) maxOf(1.0, (rate + SAVED_REQUESTS) / users.count) else 0.0
        val known = row.bucket
        if (known != null) return known.apply { resize(share, burst, now) }
        // Entries that learn of a limit at the same time must not send at the same times from then on.
        val phase = Math.floorMod(rendezvousWeight(upstream.value, self.value), PHASES) / PHASES.toDouble()
        return TokenBucket(share, burst, now).also {
            it.charge(burst * phase)
            row.bucket = it
        }
    }

    private fun users(upstream: InstanceId, rate: Double, now: Moment): Users {
        val all = entries.at(now)
        val most = floor(rate * USERS_PER_RATE + SAVED_REQUESTS).toInt()
        val ids = rendezvousSubset(upstream.value, all.toList(), most) { it.value }
        return Users(ids, maxOf(ids.size, minOf(expectedEntries(), most)))
    }

    private fun share(row: Upstream, users: Users, rate: Double, now: Moment): Double {
        row.peers.values.removeIf { now - it.at > MAX_REPORT_AGE }
        val reports = users.ids.mapNotNull { row.peers[it] }
        val known = rate * (1 + reports.size) / users.count
        val ownWeight = row.recentSends.count(now) + BASE_WEIGHT
        return known * ownWeight / (ownWeight + reports.sumOf { it.recentSends + BASE_WEIGHT })
    }

    private companion object {
        /** Long enough that a share follows the demand at an entry and not single requests. */
        val SENDS_HALF_LIFE: Duration = 2.seconds

        /** Weight of an entry that sent nothing, in requests: it has to be able to send its first one. */
        const val BASE_WEIGHT = 0.25

        /** Shares are computed no more often, since that takes time in proportion to the number of entries. */
        val SHARE_PERIOD: Duration = 100.milliseconds

        /** Several reports are sent within this time, so that the loss of one has no effect. */
        val MAX_REPORT_AGE: Duration = 3.seconds
        val REPORTED_AFTER_END: Duration = 3.seconds

        /** Bounds the message if a large part of the fleet is limited. */
        const val MAX_REPORTS = 64

        /** Most users of a limit, in multiples of its rate, beyond [SAVED_REQUESTS]. */
        const val USERS_PER_RATE = 1.5

        /** Requests that all users together may save up beyond those of one second, for demand that comes unevenly. */
        const val SAVED_REQUESTS = 3

        /** Rate that is assumed for a lower limit: a request now and then shows whether the limit still holds. */
        const val LEAST_RATE = 0.25
        const val PHASES = 1_000L
    }
}
