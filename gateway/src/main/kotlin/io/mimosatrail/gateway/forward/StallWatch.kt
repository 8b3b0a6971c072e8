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
 * Looks for engines whose streams have all fallen silent and asks them for a sign of life, so that a lost engine is
 * noticed well before a single stream has been silent for long.
 */
internal class StallWatch(
    private val registry: UpstreamRegistry,
    private val traffic: UpstreamTraffic,
    private val engines: EngineControl,
    private val signs: (Moment) -> List<StreamActivity>,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val onDown: (InstanceId) -> Unit,
) {
    private val suspects = StallDetector()
    private val asked = HashMap<InstanceId, Moment>()
    private var lastTick: Moment? = null

    /** Looks at the streams under way. After a pause of the process itself their silence says nothing yet. */
    fun tick(now: Moment) {
        val isPunctual = lastTick?.let { now - it < LATE_TICK } ?: false
        lastTick = now
        if (!isPunctual) return
        val due = suspects.findSuspects(signs(now)).filter { asked[it]?.let { at -> now - at >= ASK_PAUSE } ?: true }
            .mapNotNull { registry[it] }.filterNot { traffic[it.id].isPresumedDown(now) }
        if (due.isEmpty()) return
        asked.values.removeIf { now - it >= ASK_PAUSE }
        due.forEach { asked[it.id] = now }
        scope.launch { ask(due) }
    }

    private suspend fun ask(due: List<UpstreamRecord>) {
        val answers = due.map { engine ->
            scope.async { engine to engines.isAnswering(engine, SIGN_TIMEOUT) }
        }.awaitAll()
        val silent = answers.filterNot { it.second }.map { it.first }
        val isHearing = silent.size < due.size || suspects.isReceiving(signs(clock()))
        logEvent("stalls", "asked", "engines" to due.size, "silent" to silent.map { it.id }, "hearing" to isHearing)
        if (isHearing) silent.forEach(::onSilent)
    }

    private fun onSilent(engine: UpstreamRecord) {
        logProblem("stalls", "engine-down", "engine" to engine.id, "registry-age" to registry.age(clock()))
        traffic.onDetectedDown(engine.id, clock())
        onDown(engine.id)
    }

    companion object {
        /** A fraction of the silence that raises suspicion. */
        val PERIOD = 20.milliseconds

        /** Ticks that come later than this follow a pause of the process. */
        private val LATE_TICK = 60.milliseconds

        /** Engines answer within a few milliseconds; a lost packet takes longer and looks like a lost engine. */
        private val SIGN_TIMEOUT = 40.milliseconds

        /** An engine that gave a sign of life is slow; it is not asked again at once. */
        private val ASK_PAUSE = 1.seconds
    }
}
