package io.mimosatrail.core.pipeline

import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/** Sends keep-alive messages from an entry to every stage in use, which also opens the connections to them. */
internal class StageLinks(private val keepAliveInterval: Duration) {
    private val linked = HashSet<PeerAddress>()
    private var lastKeepAliveAt: Moment? = null

    /**
     * Opens connections to the stages of [chain] that have none, before there is anything else to send. A lost stage is
     * then detected at once by the end of its connection.
     */
    fun open(chain: Chain): List<StreamEffect> =
        chain.stages.filter { linked.add(it.address) }.map { StreamEffect.KeepAlive(it) }

    /** Sends a keep-alive to each stage of [chains] once per interval. */
    fun keepAlive(chains: List<Chain>, now: Moment): List<StreamEffect> {
        if (lastKeepAliveAt?.let { now - it < keepAliveInterval } == true) return emptyList()
        lastKeepAliveAt = now
        linked.clear()
        return chains.flatMap { open(it) }
    }
}
