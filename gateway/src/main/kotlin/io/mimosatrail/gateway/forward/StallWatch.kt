package io.mimosatrail.gateway.forward

import io.mimosatrail.core.balance.UpstreamTraffic
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.core.stall.StallDetector
import io.mimosatrail.core.stall.StreamActivity
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.log.logProblem
import io.mimosatrail.gateway.wire.EngineControl
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Probes engines whose streams have all fallen silent, so that a lost engine is detected well before a single stream
 * has been silent for long.
 */
internal class StallWatch(
    private val registry: UpstreamRegistry,
    private val traffic: UpstreamTraffic,
    private val engines: EngineControl,
    private val streamActivities: (Moment) -> List<StreamActivity>,
    private val clock: Clock,
    private val tickIntervals: TickIntervals,
    private val scope: CoroutineScope,
    private val mayCall: (InstanceId) -> Boolean,
    private val onDown: (InstanceId) -> Unit,
) {
    private val detector = StallDetector()
    private val lastProbes = HashMap<InstanceId, Moment>()
    private var lastTick: Moment? = null

    /**
     * Checks the open streams and probes suspected engines. Does nothing if the previous tick was too long ago: the
     * process itself was paused then, and the silence of its streams says nothing about engines.
     */
    fun tick(now: Moment) {
        val interval = lastTick?.let { now - it }
        lastTick = now
        if (interval == null) return
        if (interval >= MAX_TICK_INTERVAL) return
        val due = detector.findSuspects(streamActivities(now))
            .filter { lastProbes[it]?.let { at -> now - at >= PROBE_INTERVAL } ?: true }
            .mapNotNull { registry[it] }.filterNot { traffic[it.id].isPresumedDown(now) }
            .filter { mayCall(it.id) }
        if (due.isEmpty()) return
        lastProbes.values.removeIf { now - it >= PROBE_INTERVAL }
        due.forEach { lastProbes[it.id] = now }
        scope.launch { probe(due, now) }
    }

    /**
     * Probes all of [due]. Silent ones are down only if this process still receives data from other engines, was on
     * time since [startedAt], and no stream through them has continued meanwhile.
     */
    private suspend fun probe(due: List<UpstreamRecord>, startedAt: Moment) {
        val results = due.map { engine ->
            scope.async { engine to engines.isResponsive(engine, PROBE_TIMEOUT) }
        }.awaitAll()
        val silent = results.filterNot { it.second }.map { it.first }
        val activities = streamActivities(clock())
        val longestTick = tickIntervals.longest(startedAt)
        val isReceiving = silent.size < due.size || detector.isReceiving(activities)
        logEvent(
            "stalls",
            "probed",
            "engines" to due.size,
            "silent" to silent.map { it.id },
            "receiving" to isReceiving,
            "longest-tick" to longestTick,
        )
        if (longestTick > MAX_PROBE_TICK_INTERVAL) return silent.forEach { lastProbes -= it.id }
        val suspects = detector.findSuspects(activities)
        if (isReceiving) silent.filter { it.id in suspects }.forEach(::onSilent)
    }

    private fun onSilent(engine: UpstreamRecord) {
        logProblem("stalls", "engine-down", "engine" to engine.id, "registry-age" to registry.age(clock()))
        traffic.onDetectedDown(engine.id, clock())
        onDown(engine.id)
    }

    companion object {
        /** Interval of [tick]: a fraction of the silence that makes an engine suspect. */
        val PERIOD = TickIntervals.PERIOD

        /** A longer interval between two ticks means that the process was paused. */
        private val MAX_TICK_INTERVAL = 60.milliseconds

        /** A longer interval between two ticks during a probe means that its responses may wait to be read. */
        private val MAX_PROBE_TICK_INTERVAL = PERIOD * 2

        /** Engines respond within a few milliseconds. A probe whose packet is lost takes longer and fails. */
        private val PROBE_TIMEOUT = 40.milliseconds

        /** An engine that responded is slow rather than down, so it is not probed again at once. */
        private val PROBE_INTERVAL = 1.seconds
    }
}
