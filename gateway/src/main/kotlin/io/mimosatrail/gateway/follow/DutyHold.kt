package io.mimosatrail.gateway.follow

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Whether this entry may act for the placement duty.
 *
 * While the store answers, the holder of the duty's key acts, for as long as its lease certainly runs. While the store
 * is away nobody can take the duty over, so its holder goes on unless it hears of a later one; if no holder is heard,
 * the entry with the lowest id of those heard acts. Two entries may then act for a while. Both draw their plan from the
 * same facts, and an engine takes an order only if it has taken no other since it was asked.
 */
internal class DutyHold(private val self: InstanceId) {
    private class Heard(val at: Moment, val term: Long?)

    private val heard = HashMap<InstanceId, Heard>()
    private var leaseEnds: Moment? = null
    private var awaySince: Moment? = null

    /** Term of the duty while this entry is its holder by the store's last word, else null. */
    var term: Long? = null
        private set

    /** Notes that the store answered, and that the lease runs until [ends]. */
    fun onLease(ends: Moment) {
        leaseEnds = ends
        awaySince = null
    }

    /** Notes who holds the duty by the store's word; [term] is null where that is another entry or none. */
    fun onHolder(term: Long?) {
        this.term = term
    }

    /** Notes that the store did not answer. */
    fun onStoreAway(now: Moment) {
        if (awaySince == null) awaySince = now
    }

    /** Notes a message of [peer], which holds the duty in [term] if that is set. */
    fun onHeard(peer: InstanceId, term: Long?, now: Moment) {
        heard[peer] = Heard(now, term)
    }

    /** True where this entry may give orders at [now]. */
    fun mayAct(now: Moment): Boolean {
        val away = awaySince ?: return term != null && leaseEnds?.let { now < it } ?: false
        heard.values.removeIf { now - it.at > HEARD_SPAN }
        val latest = heard.values.mapNotNull { it.term }.maxOrNull()
        val own = term
        if (own != null) return latest == null || own > latest
        val isLowest = heard.isNotEmpty() && heard.keys.all { self.value < it.value }
        return latest == null && isLowest && now - away >= PATIENCE
    }

    private companion object {
        /** Several messages fit into this. */
        val HEARD_SPAN: Duration = 1_500.milliseconds

        /** A holder that lives is heard within this time. */
        val PATIENCE: Duration = 2.seconds
    }
}
