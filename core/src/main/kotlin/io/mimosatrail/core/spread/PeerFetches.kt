package io.mimosatrail.core.spread

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId

/** Tracks running fetches, peers known to be ahead of this process, and peers that did not answer. */
internal class PeerFetches {
    /** This process's revision at the start of each running fetch. */
    private val running = mutableMapOf<InstanceId, ConfigRevision>()
    private val ahead = mutableMapOf<InstanceId, ConfigRevision>()
    private val suspects = mutableSetOf<InstanceId>()
    private val outdated = mutableSetOf<InstanceId>()

    /** Starts a fetch from [peer] unless one is running. */
    fun fetch(peer: InstanceId, current: ConfigRevision): List<SpreadEffect> =
        if (running.putIfAbsent(peer, current) == null) listOf(SpreadEffect.Fetch(peer)) else emptyList()

    /** [peer] is at revision [seen], above [current]. Fetches unless a running fetch will bring that revision. */
    fun onAhead(peer: InstanceId, seen: ConfigRevision, current: ConfigRevision): List<SpreadEffect> {
        ahead.merge(peer, seen) { a, b -> maxOf(a, b) }
        val covered = running.keys.any { fetched -> ahead[fetched].let { it != null && it >= seen } }
        return if (covered) emptyList() else fetch(peer, current)
    }

    /**
     * The fetch from [peer] ended with this process at [current]. Fetches next from the peer that is furthest ahead,
     * from [peer] again only if its last fetch brought a new revision: content that cannot be applied would otherwise
     * be fetched in an endless loop.
     */
    fun onEnd(peer: InstanceId, current: ConfigRevision): List<SpreadEffect> {
        val before = running.remove(peer)
        if (before == null || before >= current) ahead -= peer
        forgetUpTo(current)
        val next = ahead.entries.filter { it.key !in running }.maxByOrNull { it.value } ?: return emptyList()
        return fetch(next.key, current)
    }

    fun forgetUpTo(current: ConfigRevision) {
        ahead.values.removeIf { it <= current }
    }

    /** Marks the running fetches as started before a pause of this process: their answers may be outdated. */
    fun markRunningOutdated() {
        outdated += running.keys
    }

    /** Returns true if the fetch from [peer] was started before a pause, and clears that mark. */
    fun takeOutdated(peer: InstanceId): Boolean = outdated.remove(peer)

    fun suspect(peer: InstanceId) {
        suspects += peer
    }

    fun clearSuspicion(peer: InstanceId) {
        suspects -= peer
    }

    fun isSuspect(peer: InstanceId): Boolean = peer in suspects
}
