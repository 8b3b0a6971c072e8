package io.mimosatrail.core.routing

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Upstreams known to one entry. Not thread-safe.
 *
 * [minInUseRatio] is the fraction of a service's serving upstreams that stays in use even if more are ejected.
 */
class UpstreamTable(private val minInUseRatio: Double = 0.5) {
    private val rows = LinkedHashMap<InstanceId, UpstreamRow>()
    private var lastList: List<InstanceEntry>? = null

    /** Increases when the set of upstreams that may get new requests changes, except when an ejection ends. */
    var version: Long = 0
        private set

    val all: Collection<UpstreamRow> get() = rows.values

    operator fun get(instance: InstanceId): UpstreamRow? = rows[instance]

    /** Applies the instance list: adds new sidecars, removes missing ones. Ignores the list that was applied last. */
    fun onList(entries: List<InstanceEntry>, now: Moment) {
        if (entries === lastList) return
        lastList = entries
        val sidecars = entries.filter { it.role == InstanceRole.SIDECAR && it.service != null }.associateBy { it.id }
        if (rows.keys.retainAll(sidecars.keys)) version++
        for (entry in sidecars.values) update(entry, now)
    }

    /** Records a sidecar's description of its upstream. */
    fun onDescribed(description: UpstreamDescription, now: Moment) {
        val row = rows[description.instance] ?: return
        row.isDescribePending = false
        val old = row.description
        row.description = description
        row.draining = description.load.draining
        row.sentSinceReport.reset()
        if (row.servingSince == null) row.servingSince = now
        if (old == null || old.engine != description.engine || old.load.draining != description.load.draining) version++
    }

    /** Records the load reported with the reply to a finished or refused request. */
    fun onLoad(instance: InstanceId, load: UpstreamLoad, now: Moment) {
        val row = rows[instance] ?: return
        val description = row.description ?: return
        row.description = description.copy(load = load)
        row.sentSinceReport.reset()
        row.health.onSuccess(now)
        if (load.draining) drain(row)
    }

    /** Records a refusal. The sidecar becomes due for a new description at once, since the last one may be outdated. */
    fun onRefused(instance: InstanceId, reason: RefusalReason, now: Moment) {
        val row = rows[instance] ?: return
        row.describeDueAt = now
        when (reason) {
            RefusalReason.DRAINING -> drain(row)
            RefusalReason.STALE, RefusalReason.NOT_READY, RefusalReason.UPSTREAM_ERROR, RefusalReason.PEER_LOST ->
                eject(row, now)
            else -> Unit
        }
    }

    /** Records that the instance was unreachable or stopped answering. */
    fun onLost(instance: InstanceId, now: Moment) {
        val row = rows[instance] ?: return
        row.isDescribePending = false
        if (row.description != null) eject(row, now)
    }

    /** Upstreams of [service] that may get new requests; ejected ones only as far as [minInUseRatio] requires. */
    fun serving(service: ServiceId, now: Moment): List<UpstreamRow> = dropEjected(servingOrEjected(service), now)

    /** Upstreams of [service] that may get new requests if ejections are ignored. */
    internal fun servingOrEjected(service: ServiceId): List<UpstreamRow> =
        rows.values.filter { it.entry.service == service && it.isServing }

    /**
     * At most [limit] sidecars that are due to be asked for their description, those without one first. They are marked
     * as asked.
     */
    fun takeDue(now: Moment, limit: Int): List<InstanceEntry> {
        val due = rows.values.filter { !it.isDescribePending && it.describeDueAt <= now }
        val chosen = due.sortedWith(compareBy({ it.description != null }, { it.describeDueAt })).take(limit)
        chosen.forEach { markAsked(it, now) }
        return chosen.map { it.entry }
    }

    /** Interval of description requests to one sidecar; grows with the number of upstreams to limit the total rate. */
    fun describePeriod(): Duration = maxOf(MIN_DESCRIBE_PERIOD, DESCRIBE_SPACING * rows.size)

    /** Removes ejected upstreams, but keeps those whose ejection ends first as far as [minInUseRatio] requires. */
    internal fun dropEjected(serving: List<UpstreamRow>, now: Moment): List<UpstreamRow> {
        val (ejected, healthy) = serving.partition { it.health.isEjected(now) }
        val minInUse = kotlin.math.ceil(serving.size * minInUseRatio).toInt()
        if (healthy.size >= minInUse) return healthy
        return healthy + ejected.sortedBy { it.health.ejectedUntil }.take(minInUse - healthy.size)
    }

    private fun update(entry: InstanceEntry, now: Moment) {
        val row = rows[entry.id]
        if (row == null || row.entry.address != entry.address) {
            rows[entry.id] = UpstreamRow(entry, now)
            version++
            return
        }
        if (row.entry != entry) version++
        row.entry = entry
    }

    private fun markAsked(row: UpstreamRow, now: Moment) {
        row.isDescribePending = true
        row.describeDueAt = now + if (row.description == null) MIN_DESCRIBE_PERIOD else describePeriod()
    }

    private fun drain(row: UpstreamRow) {
        if (!row.draining) version++
        row.draining = true
    }

    private fun eject(row: UpstreamRow, now: Moment) {
        row.health.onFailure(now)
        row.servingSince = row.health.ejectedUntil
        version++
    }

    private companion object {
        val MIN_DESCRIBE_PERIOD: Duration = 500.milliseconds

        /** Limits the periodic description requests of an entry to five a second. */
        val DESCRIBE_SPACING: Duration = 200.milliseconds
    }
}
