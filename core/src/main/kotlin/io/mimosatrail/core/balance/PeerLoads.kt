package io.mimosatrail.core.balance

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Engine loads reported by the other entries. Reports older than [maxAge] are ignored. Not thread-safe. */
class PeerLoads(private val maxAge: Duration = MAX_AGE) {
    private class Report(val at: Moment, val number: Long, val loads: Map<InstanceId, EngineLoad>)

    private val reports = HashMap<InstanceId, Report>()

    /**
     * Records a report received from [peer] at [now]. A report is dropped if one with the same or a higher [number] has
     * arrived, unless that one is too old: a restarted entry counts from the beginning.
     */
    fun onReport(peer: InstanceId, number: Long, loads: List<EngineLoad>, now: Moment) {
        val known = reports[peer]
        if (known != null && known.number >= number && now - known.at < maxAge) return
        reports[peer] = Report(now, number, loads.associateBy { it.engine })
    }

    /** Number of entries with a recent report. */
    fun reportingCount(now: Moment): Int {
        reports.values.removeIf { now - it.at > maxAge }
        return reports.size
    }

    /** Total load at [engine] over all recent reports. */
    fun at(engine: InstanceId, now: Moment): EngineLoad {
        var sequences = 0
        var tokenLayers = 0L
        for (report in reports.values) {
            val load = report.loads[engine] ?: continue
            if (now - report.at > maxAge) continue
            sequences += load.sequences
            tokenLayers += load.tokenLayers
        }
        return EngineLoad(engine, sequences, tokenLayers)
    }

    private companion object {
        /** Several reports are sent within this time, so that the loss of one has no effect. */
        val MAX_AGE = 1_600.milliseconds
    }
}
