package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.quarantine.BrokenRun
import io.mimosatrail.core.quarantine.ContentQuarantine
import io.mimosatrail.core.quarantine.QuarantineUpdate
import io.mimosatrail.core.quarantine.RequestContent
import io.mimosatrail.core.quarantine.UpstreamCrash
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.log.logProblem
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Finds out whether upstreams were lost when the answers of requests break off or stall, and reports these requests to
 * [quarantine].
 *
 * A connection can break without a crash. An upstream crashed if it doesn't respond right afterwards, which [probe]
 * finds out. One that has fallen silent and doesn't respond may be cut off, or frozen: it was lost only if [hasLeft]
 * says so some time later, and not if it responds again.
 */
internal class CrashWatch(
    private val probe: suspend (UpstreamRecord) -> Boolean,
    private val quarantine: ContentQuarantine,
    private val clock: Clock,
    private val tickIntervals: TickIntervals,
    private val scope: CoroutineScope,
    private val mayCall: (InstanceId) -> Boolean,
    private val hasLeft: (UpstreamRecord) -> Boolean,
) {
    private val broken = HashMap<UpstreamCrash, MutableList<BrokenRun>>()
    private val silent = HashMap<UpstreamCrash, MutableList<BrokenRun>>()

    /** Upstreams that were only silent before they were lost, and may have been cut off from the registry. */
    private val lostInSilence = LinkedHashMap<UpstreamCrash, UpstreamRecord>()

    /** Records that [upstream] broke off [run]. */
    fun onBroken(upstream: UpstreamRecord, run: BrokenRun) = investigate(upstream, run, broken, ::probeBroken)

    /** Records that [upstream] is silent, which [run] waits for. */
    fun onSilent(upstream: UpstreamRecord, run: BrokenRun) = investigate(upstream, run, silent, ::watchSilent)

    /** True while it is being found out whether an upstream was lost under a request with [content]. */
    fun isInvestigating(content: RequestContent): Boolean {
        val request = content.knownFingerprint ?: return false
        return (broken.values + silent.values).any { runs -> runs.any { it.content.knownFingerprint == request } }
    }

    /** Passes what is refused from now on to [onRefused]. */
    fun tick(now: Moment, onRefused: (QuarantineUpdate) -> Unit) {
        for ((crash, upstream) in lostInSilence.filterValues { !hasLeft(it) }) {
            lostInSilence -= crash
            onReturned(crash, upstream)
        }
        val update = quarantine.update(now)
        if (update.isEmpty) return
        update.refused.forEach { logProblem("crash", "refused", "content" to it) }
        onRefused(update)
    }

    private fun investigate(
        upstream: UpstreamRecord,
        run: BrokenRun,
        runs: HashMap<UpstreamCrash, MutableList<BrokenRun>>,
        find: suspend (UpstreamRecord, UpstreamCrash) -> Unit,
    ) {
        // The request is not in memory any more when the upstream has been probed.
        run.content.fingerprint()
        val crash = UpstreamCrash(upstream.id, upstream.startedMillis)
        val isFirst = crash !in runs
        val known = runs.getOrPut(crash) { mutableListOf() }
        if (known.none { it.content === run.content }) known += run
        if (isFirst) scope.launch { find(upstream, crash) }
    }

    private suspend fun probeBroken(upstream: UpstreamRecord, crash: UpstreamCrash) {
        delay(COLLECTION_TIME)
        val isResponsive = isResponsive(upstream)
        val runs = broken.remove(crash).orEmpty()
        logProbe(upstream, isResponsive, runs)
        if (!isResponsive) quarantine.onCrash(crash, runs, clock())
    }

    /** Holds the runs against their requests while [upstream] doesn't respond, and for good once it has been lost. */
    private suspend fun watchSilent(upstream: UpstreamRecord, crash: UpstreamCrash) {
        var isResponsive = isResponsive(upstream)
        logProbe(upstream, isResponsive, silent[crash].orEmpty())
        val since = clock()
        while (!isResponsive && !hasLeft(upstream) && clock() - since < MAX_SILENCE) {
            quarantine.onCrash(crash, silent[crash].orEmpty(), clock(), isConfirmed = false)
            delay(SILENCE_INTERVAL)
            isResponsive = !hasLeft(upstream) && isResponsive(upstream)
        }
        val runs = silent.remove(crash).orEmpty()
        if (isResponsive || !hasLeft(upstream)) return onReturned(crash, upstream)
        logEvent("crash", "lost-in-silence", "upstream" to upstream.id, "after" to clock() - since)
        lostInSilence[crash] = upstream
        if (lostInSilence.size > MAX_WATCHED) lostInSilence -= lostInSilence.keys.first()
        quarantine.onCrash(crash, runs, clock())
    }

    private fun onReturned(crash: UpstreamCrash, upstream: UpstreamRecord) {
        logEvent("crash", "returned", "upstream" to upstream.id)
        quarantine.onReturned(crash, clock())
    }

    private fun logProbe(upstream: UpstreamRecord, isResponsive: Boolean, runs: List<BrokenRun>) {
        val requests = runs.distinctBy { it.content.knownFingerprint }.size
        logEvent("crash", "probed", "upstream" to upstream.id, "responsive" to isResponsive, "requests" to requests)
    }

    /**
     * Probes [upstream] again while this process was late, since an answer may not have been read in time then. An
     * upstream that wants a pause has answered, so it counts as responsive.
     */
    private suspend fun isResponsive(upstream: UpstreamRecord): Boolean {
        repeat(MAX_PROBES) {
            val startedAt = clock()
            if (!mayCall(upstream.id) || probe(upstream)) return true
            if (tickIntervals.longest(startedAt) <= MAX_TICK_INTERVAL) return false
            delay(TickIntervals.PERIOD)
        }
        // Without a probe on time, nothing shows that it crashed.
        return true
    }

    private companion object {
        /** All answers of a crashed upstream break off within this time. */
        val COLLECTION_TIME = 30.milliseconds

        /** A longer interval between two ticks of this process makes a probe without an answer unreliable. */
        val MAX_TICK_INTERVAL = 50.milliseconds

        /** An entry that is late for longer leaves it to the others to notice the crash. */
        const val MAX_PROBES = 5

        /** Time between two probes of a silent upstream, each of which costs a connection at most. */
        val SILENCE_INTERVAL = 400.milliseconds

        /** An upstream that is silent for longer without being lost is cut off. */
        val MAX_SILENCE = 15.seconds
        const val MAX_WATCHED = 256
    }
}
