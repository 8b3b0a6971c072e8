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

private val FETCH_TIMEOUT = 1.seconds
private val SAME_PLACE_LATENCY = 1.milliseconds
private val OTHER_PLACE_LATENCY = 8.milliseconds

/** A defect put into the simulation to prove that its checks detect it. */
internal enum class SpreadDefect { ACCEPTS_OLDER, DROPS_NOTICES }

/** Number of messages sent between processes; [contents] counts the states that carried a newer configuration. */
internal class MessageCounts(var notices: Long = 0, var fetches: Long = 0, var states: Long = 0, var contents: Long = 0)

/** A fleet in virtual time whose processes distribute revisions with [io.mimosatrail.core.spread.ConfigSpread]. */
internal class SpreadSimulation(
    seed: Long,
    private val settings: SpreadSettings = SpreadSettings(),
    val defect: SpreadDefect? = null,
) {
    private val random = Random(seed)
    private val clock = SpreadSimulationClock()
    private val lastRevisions = mutableMapOf<InstanceId, ConfigRevision>()
    private val isolatedPlaces = mutableSetOf<PlaceId>()
    private val placesWithoutStore = mutableSetOf<PlaceId>()
    private var started = 0

    val store = SimulatedRevisionStore(clock, ::isStoreReachable)
    private val byId = mutableMapOf<InstanceId, SimulatedNode>()
    val nodes: Collection<SimulatedNode> get() = byId.values
    val counts = MessageCounts()

    /** Probability that a message is lost, from 0 to 1. */
    var loss = 0.0

    /** The instance list that all processes use, updated by [relist]. */
    var members: List<SpreadMember> = emptyList()
        private set
    val now: Moment get() = clock.now
    val aliveNodes: List<SimulatedNode> get() = nodes.filter { it.isAlive }

    /** Starts a process in [place]. The next [relist] adds it to the instance list. */
    fun start(place: PlaceId): SimulatedNode {
        val member = SpreadMember(InstanceId("${place.value}-${started++}"), place)
        val node = SimulatedNode(member, this, settings, Random(random.nextLong()))
        byId[node.id] = node
        tick(node, TICK * random.nextDouble())
        return node
    }

    /** Sets the instance list to the processes that are alive. */
    fun relist() {
        members = aliveNodes.map { it.member }
    }

    /** Cuts the connections of [place] to other places and to the store. */
    fun cutPlace(place: PlaceId) = isolatedPlaces.add(place)

    fun cutFromStore(place: PlaceId) = placesWithoutStore.add(place)

    fun isolate(node: SimulatedNode) {
        node.isIsolated = true
    }

    /** Ends all faults except crashes, and updates the instance list. */
    fun heal() {
        isolatedPlaces.clear()
        placesWithoutStore.clear()
        store.isDown = false
        store.latency = 3.milliseconds
        loss = 0.0
        aliveNodes.forEach { it.isIsolated = false }
        aliveNodes.filter { it.isPaused }.forEach { it.resume() }
        relist()
    }

    fun run(duration: Duration) = clock.runUntil(now + duration)

    /** Runs until every process alive has [revision], and returns the time taken; null if [limit] was exceeded. */
    fun timeUntilInForceEverywhere(revision: ConfigRevision, limit: Duration): Duration? {
        val start = now
        while (now - start <= limit) {
            if (aliveNodes.all { it.revision >= revision }) return now - start
            run(1.milliseconds)
        }
        return null
    }

    fun fetch(from: SimulatedNode, to: InstanceId) {
        var isEnded = false
        counts.fetches++
        val revision = from.revision
        deliver(from, to) { peer ->
            peer.onPeerRevision(from, revision)
            val content = peer.revision
            counts.states++
            if (content > revision) counts.contents++
            deliver(peer, from.id) { if (!isEnded) it.onFetched(peer, content).also { isEnded = true } }
        }
        clock.after(FETCH_TIMEOUT) {
            from.run { if (!isEnded) from.onFetchFailed(to).also { isEnded = true } }
        }
    }

    fun notify(from: SimulatedNode, to: InstanceId) {
        if (defect == SpreadDefect.DROPS_NOTICES) return
        counts.notices++
        val revision = from.revision
        deliver(from, to) { it.onPeerRevision(from, revision) }
    }

    /** Checks that the revision of [node] has not decreased since the last call. */
    fun checkNotReverted(node: SimulatedNode) {
        val before = lastRevisions.put(node.id, node.revision) ?: return
        check(node.revision >= before) { "${node.id} reverted from revision $before to ${node.revision}" }
    }

    private fun tick(node: SimulatedNode, delay: Duration) {
        clock.after(delay) {
            if (!node.isPaused) node.run { node.tick() }
            if (node.isAlive) tick(node, TICK)
        }
    }

    private fun deliver(from: SimulatedNode, to: InstanceId, arrive: (SimulatedNode) -> Unit) {
        val peer = byId[to] ?: return
        if (random.nextDouble() < loss || !isConnected(from, peer)) return
        val latency = if (from.member.place == peer.member.place) SAME_PLACE_LATENCY else OTHER_PLACE_LATENCY
        clock.after(latency * (0.5 + random.nextDouble())) {
            if (isConnected(from, peer)) peer.run { arrive(peer) }
        }
    }

    private fun isConnected(a: SimulatedNode, b: SimulatedNode): Boolean {
        val isSamePlace = a.member.place == b.member.place
        val isPlaceCut = a.member.place in isolatedPlaces || b.member.place in isolatedPlaces
        return !a.isIsolated && !b.isIsolated && (isSamePlace || !isPlaceCut)
    }

    private fun isStoreReachable(node: SimulatedNode): Boolean =
        !node.isIsolated && node.member.place !in isolatedPlaces && node.member.place !in placesWithoutStore
}
