package io.mimosatrail.core.limits

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.registry.RegistryChange
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days

/**
 * Pauses that upstreams asked of this entry when they turned a request away. During its pause an upstream gets nothing
 * from this entry. Other entries are not bound by it. Not thread-safe.
 */
class RequestedPauses {
    private class Pause(val startedMillis: Long, val until: Moment)

    private val pauses = HashMap<InstanceId, Pause>()

    /**
     * Records that [upstream] asked at [now] for a [pause]. A pause never ends earlier than an earlier answer of the
     * same process asked for. Returns true if the end of the pause has changed.
     */
    fun onRequested(upstream: UpstreamRecord, pause: Duration, now: Moment): Boolean {
        if (pause <= Duration.ZERO) return false
        val until = now + pause.coerceAtMost(LONGEST)
        val known = pauses[upstream.id]?.takeIf { it.startedMillis >= upstream.startedMillis }
        if (known != null && (known.startedMillis > upstream.startedMillis || known.until >= until)) return false
        pauses[upstream.id] = Pause(upstream.startedMillis, until)
        return true
    }

    /** Time until the pause of [upstream] ends; zero if there is none. */
    fun remaining(upstream: InstanceId, now: Moment): Duration =
        pauses[upstream]?.let { (it.until - now).coerceAtLeast(Duration.ZERO) } ?: Duration.ZERO

    /** Upstreams that get nothing now. */
    fun paused(now: Moment): Set<InstanceId> {
        pauses.values.removeIf { it.until <= now }
        return if (pauses.isEmpty()) emptySet() else pauses.keys.toSet()
    }

    /** Ends the pauses of upstreams that restarted, since the new process has not asked for one. */
    fun onRegistry(changes: List<RegistryChange>) = changes.forEach { change ->
        val pause = pauses[change.id]
        val after = change.after
        if (pause != null && after != null && after.startedMillis > pause.startedMillis) pauses -= change.id
    }

    private companion object {
        /** Bounds what a nonsensical value can do; upstreams are replaced more often than this. */
        val LONGEST: Duration = 1.days
    }
}
