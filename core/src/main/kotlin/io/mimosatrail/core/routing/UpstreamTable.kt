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
 * [floor] is the ratio of a service's serving upstreams that stays in use however many are ejected.
 */
class UpstreamTable(private val floor: Double = 0.5) {
    private val rows = LinkedHashMap<InstanceId, UpstreamRow>()
    private var lastList: List<InstanceEntry>? = null

    /** Changes whenever the set of upstreams that may take work changes, time aside. */
    var version: Long = 0
        private set

    val all: Collection<UpstreamRow> get() = rows.values

    operator fun get(instance: InstanceId): UpstreamRow? = rows[instance]

    /** Takes over the instance list: new sidecars are added, absent ones removed; the same list again costs nothing. */
    fun onList(entries: List<InstanceEntry>, now: Moment) {
        if (entries === lastList) return
        lastList = entries
        val sidecars = entries.filter { it.role == InstanceRole.SIDECAR && it.service != null }.associateBy { it.id }
        if (rows.keys.retainAll(sidecars.keys)) version++
        for (entry in sidecars.values) update(entry, now)
    }

    /** Notes the sidecar's own answer. */
    fun onDescribed(description: UpstreamDescription, now: Moment) {
        val row = rows[description.instance] ?: return
        row.asking = false
        val old = row.description
        row.description = description
        row.draining = description.load.draining
        row.sent.reset()
        if (row.servingSince == null) row.servingSince = now
        if (old == null || old.engine != description.engine || old.load.draining != description.load.draining) version++
    }

    /** Notes the load carried on a reply of finished or refused work. */
    fun onLoad(instance: InstanceId, load: UpstreamLoad, now: Moment) {
        val row = rows[instance] ?: return
        val description = row.description ?: return
        row.description = description.copy(load = load)
        row.sent.reset()
        row.health.onSuccess(now)
        if (load.draining) drain(row)
    }

    /** Notes a refusal; one that contradicts the description has it asked for again at once. */
    fun onRefused(instance: InstanceId, reason: RefusalReason, now: Moment) {
        val row = rows[instance] ?: return
        row.describeDue = now
        when (reason) {
            RefusalReason.DRAINING -> drain(row)
            RefusalReason.STALE, RefusalReason.NOT_READY, RefusalReason.UPSTREAM_ERROR, RefusalReason.PEER_LOST ->
                eject(row, now)
            else -> Unit
        }
    }

    /** Notes that the instance could not be reached or stopped answering. */
    fun onLost(instance: InstanceId, now: Moment) {
        val row = rows[instance] ?: return
        row.asking = false
        if (row.description != null) eject(row, now)
    }

    /** Upstreams of [service] that may take new work: none that leaves, ejected ones only to keep the floor. */
    fun serving(service: ServiceId, now: Moment): List<UpstreamRow> = keepFloor(usable(service), now)

    /** Upstreams of [service] that do not leave, ejected ones included. */
    internal fun usable(service: ServiceId): List<UpstreamRow> =
        rows.values.filter { it.entry.service == service && it.isServing }

    /** Rows whose sidecars are to be asked now, at most [limit]; they count as asked. */
    fun takeDue(now: Moment, limit: Int): List<InstanceEntry> {
        val due = rows.values.filter { !it.asking && it.describeDue <= now }
        val chosen = due.sortedWith(compareBy({ it.description != null }, { it.describeDue })).take(limit)
        chosen.forEach { ask(it, now) }
        return chosen.map { it.entry }
    }

    /** Period between questions to one sidecar, so that all together stay under a rate. */
    fun describePeriod(): Duration = maxOf(SHORTEST_DESCRIBE_PERIOD, DESCRIBE_SPACING * rows.size)

    internal fun keepFloor(serving: List<UpstreamRow>, now: Moment): List<UpstreamRow> {
        val (ejected, healthy) = serving.partition { it.health.isEjected(now) }
        val least = kotlin.math.ceil(serving.size * floor).toInt()
        if (healthy.size >= least) return healthy
        return healthy + ejected.sortedBy { it.health.ejectedUntil }.take(least - healthy.size)
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

    private fun ask(row: UpstreamRow, now: Moment) {
        row.asking = true
        row.describeDue = now + if (row.description == null) SHORTEST_DESCRIBE_PERIOD else describePeriod()
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
        val SHORTEST_DESCRIBE_PERIOD: Duration = 500.milliseconds
        val DESCRIBE_SPACING: Duration = 200.milliseconds
    }
}
