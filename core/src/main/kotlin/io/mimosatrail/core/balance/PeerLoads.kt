package io.mimosatrail.core.balance

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Loads that the other entries told of. What is older than [freshness] does not count. Not thread-safe. */
class PeerLoads(private val freshness: Duration = FRESHNESS) {
    private class Told(val at: Moment, val number: Long, val loads: Map<InstanceId, EngineLoad>)

    private val told = HashMap<InstanceId, Told>()

    /** Takes the loads that [peer] told at [now]; one that was overtaken on the way is dropped. */
    fun onTold(peer: InstanceId, number: Long, loads: List<EngineLoad>, now: Moment) {
        val known = told[peer]
        if (known != null && known.number >= number && now - known.at < freshness) return
        told[peer] = Told(now, number, loads.associateBy { it.engine })
    }

    /** Number of entries heard lately. */
    fun heard(now: Moment): Int {
        told.values.removeIf { now - it.at > freshness }
        return told.size
    }

    /** What the entries heard lately have at [engine] together. */
    fun at(engine: InstanceId, now: Moment): EngineLoad {
        var sequences = 0
        var tokenLayers = 0L
        for (entry in told.values) {
            val load = entry.loads[engine] ?: continue
            if (now - entry.at > freshness) continue
            sequences += load.sequences
            tokenLayers += load.tokenLayers
        }
        return EngineLoad(engine, sequences, tokenLayers)
    }

    private companion object {
        /** Several messages fit into this, so that a lost one changes nothing. */
        val FRESHNESS = 1_600.milliseconds
    }
}
