package io.mimosatrail.core.pipeline

import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/** Keeps a connection from the entry to every stage in use, and tells the stages that the entry is alive. */
internal class StageLinks(private val aliveEvery: Duration) {
    private val linked = HashSet<PeerAddress>()
    private var aliveAt: Moment? = null

    /** Connects to the stages of [chain] early, so that the end of a connection tells of a lost stage at once. */
    fun open(chain: Chain): List<StreamEffect> =
        chain.stages.filter { linked.add(it.address) }.map { StreamEffect.KeepAlive(it) }

    /** Heartbeats to the stages of [chains], where the period is over. */
    fun keepAlive(chains: List<Chain>, now: Moment): List<StreamEffect> {
        if (aliveAt?.let { now - it < aliveEvery } == true) return emptyList()
        aliveAt = now
        linked.clear()
        return chains.flatMap { open(it) }
    }
}
