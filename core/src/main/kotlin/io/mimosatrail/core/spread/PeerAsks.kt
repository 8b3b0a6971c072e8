package io.mimosatrail.core.spread

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId

/** Fetches that run, peers known to be ahead, and peers that did not answer. */
internal class PeerAsks {
    /** What this process was at when each running fetch began. */
    private val running = mutableMapOf<InstanceId, ConfigRevision>()
    private val ahead = mutableMapOf<InstanceId, ConfigRevision>()
    private val suspects = mutableSetOf<InstanceId>()
    private val outdated = mutableSetOf<InstanceId>()

    /** Asks [peer] unless it is being asked already. */
    fun ask(peer: InstanceId, current: ConfigRevision): List<SpreadEffect> =
        if (running.putIfAbsent(peer, current) == null) listOf(SpreadEffect.Fetch(peer)) else emptyList()

    /** [peer] is at [seen], which is ahead of [current]. */
    fun onAhead(peer: InstanceId, seen: ConfigRevision, current: ConfigRevision): List<SpreadEffect> {
        ahead.merge(peer, seen) { a, b -> maxOf(a, b) }
        val covered = running.keys.any { asked -> ahead[asked].let { it != null && it >= seen } }
        return if (covered) emptyList() else ask(peer, current)
    }

    /**
     * The fetch from [peer] ended with this process at [current]. Goes on with a peer that is ahead; with the same one
     * only where it brought something, so that unusable content isn't asked for without end.
     */
    fun onEnd(peer: InstanceId, current: ConfigRevision): List<SpreadEffect> {
        val before = running.remove(peer)
        if (before == null || before >= current) ahead -= peer
        forgetUpTo(current)
        val next = ahead.entries.filter { it.key !in running }.maxByOrNull { it.value } ?: return emptyList()
        return ask(next.key, current)
    }

    fun forgetUpTo(current: ConfigRevision) {
        ahead.values.removeIf { it <= current }
    }

    /** Marks the running fetches as begun before a pause; their answers may be as old. */
    fun outdate() {
        outdated += running.keys
    }

    /** True once for a fetch from [peer] that was begun before a pause. */
    fun takeOutdated(peer: InstanceId): Boolean = outdated.remove(peer)

    fun suspect(peer: InstanceId) {
        suspects += peer
    }

    fun clear(peer: InstanceId) {
        suspects -= peer
    }

    fun isSuspect(peer: InstanceId): Boolean = peer in suspects
}
