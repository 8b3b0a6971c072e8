package io.mimosatrail.bench.config

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.spread.SpreadMember
import io.mimosatrail.core.spread.SpreadSettings
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val ASK_TIMEOUT = 1.seconds
private val NEAR_LATENCY = 1.milliseconds
private val FAR_LATENCY = 8.milliseconds

/** A fault put into the simulation to show that its checks can fail. */
internal enum class DeliberateFault { TAKES_OLDER, DROPS_NOTICES }

/** Messages between processes so far. */
internal class MessageCounts(var notices: Long = 0, var fetches: Long = 0, var states: Long = 0, var contents: Long = 0)

/** A fleet in virtual time whose processes spread revisions with [io.mimosatrail.core.spread.ConfigSpread]. */
internal class SpreadSimulation(
    seed: Long,
    private val settings: SpreadSettings = SpreadSettings(),
    val fault: DeliberateFault? = null,
) {
    private val random = Random(seed)
    private val time = VirtualTime()
    private val inForce = mutableMapOf<InstanceId, ConfigRevision>()
    private val placesCut = mutableSetOf<PlaceId>()
    private val placesWithoutStore = mutableSetOf<PlaceId>()
    private var started = 0

    val store = SimulatedStore(time, ::reachesStore)
    private val byId = mutableMapOf<InstanceId, SimulatedNode>()
    val nodes: Collection<SimulatedNode> get() = byId.values
    val counts = MessageCounts()

    /** Share of messages that are lost. */
    var loss = 0.0

    /** The list as processes see it; set by [relist]. */
    var members: List<SpreadMember> = emptyList()
        private set
    val now: Moment get() = time.now
    val living: List<SimulatedNode> get() = nodes.filter { it.alive }

    /** Starts a process in [place]; it is listed at the next [relist]. */
    fun start(place: PlaceId): SimulatedNode {
        val member = SpreadMember(InstanceId("${place.value}-${started++}"), place)
        val node = SimulatedNode(member, this, settings, Random(random.nextLong()))
        byId[node.id] = node
        tick(node, TICK * random.nextDouble())
        return node
    }

    /** Brings the instance list up to date. */
    fun relist() {
        members = living.map { it.member }
    }

    fun cut(place: PlaceId) = placesCut.add(place)

    fun cutFromStore(place: PlaceId) = placesWithoutStore.add(place)

    fun isolate(node: SimulatedNode) {
        node.isolated = true
    }

    /** Ends every fault but crashes. */
    fun heal() {
        placesCut.clear()
        placesWithoutStore.clear()
        store.outage = false
        store.latency = 3.milliseconds
        loss = 0.0
        living.forEach { it.isolated = false }
        living.filter { it.paused }.forEach { it.resume() }
        relist()
    }

    fun run(duration: Duration) = time.runUntil(now + duration)

    /** Runs until every living process is at [revision], at most [limit]; null where that was not enough. */
    fun timeUntilEverywhere(revision: ConfigRevision, limit: Duration): Duration? {
        val start = now
        while (now - start <= limit) {
            if (living.all { it.revision >= revision }) return now - start
            run(1.milliseconds)
        }
        return null
    }

    fun fetch(from: SimulatedNode, to: InstanceId) {
        var ended = false
        counts.fetches++
        val revision = from.revision
        deliver(from, to) { peer ->
            peer.onSeen(from, revision)
            val content = peer.revision
            counts.states++
            if (content > revision) counts.contents++
            deliver(peer, from.id) { if (!ended) it.onFetched(peer, content).also { ended = true } }
        }
        time.after(ASK_TIMEOUT) {
            from.run { if (!ended) from.onFetchFailed(to).also { ended = true } }
        }
    }

    fun notify(from: SimulatedNode, to: InstanceId) {
        if (fault == DeliberateFault.DROPS_NOTICES) return
        counts.notices++
        val revision = from.revision
        deliver(from, to) { it.onSeen(from, revision) }
    }

    /** Checks that no process ever goes back. */
    fun noteInForce(node: SimulatedNode) {
        val before = inForce.put(node.id, node.revision) ?: return
        check(node.revision >= before) { "${node.id} went from revision $before back to ${node.revision}" }
    }

    private fun tick(node: SimulatedNode, delay: Duration) {
        time.after(delay) {
            if (!node.paused) node.run { node.tick() }
            if (node.alive) tick(node, TICK)
        }
    }

    private fun deliver(from: SimulatedNode, to: InstanceId, arrive: (SimulatedNode) -> Unit) {
        val peer = byId[to] ?: return
        if (random.nextDouble() < loss || !connected(from, peer)) return
        val latency = if (from.member.place == peer.member.place) NEAR_LATENCY else FAR_LATENCY
        time.after(latency * (0.5 + random.nextDouble())) {
            if (connected(from, peer)) peer.run { arrive(peer) }
        }
    }

    private fun connected(a: SimulatedNode, b: SimulatedNode): Boolean {
        val samePlace = a.member.place == b.member.place
        val cut = a.member.place in placesCut || b.member.place in placesCut
        return !a.isolated && !b.isolated && (samePlace || !cut)
    }

    private fun reachesStore(node: SimulatedNode): Boolean =
        !node.isolated && node.member.place !in placesCut && node.member.place !in placesWithoutStore
}
