package io.mimosatrail.bench.config

import io.mimosatrail.core.id.ConfigRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Timeout of a store call. A watch has this in addition to its wait time. */
private val CALL_TIMEOUT = 2.seconds

/** The platform's store in virtual time, which holds only the newest revision. */
internal class SimulatedRevisionStore(
    private val clock: SpreadSimulationClock,
    private val isReachable: (SimulatedNode) -> Boolean,
) {
    private class Watch(val node: SimulatedNode, val seen: ConfigRevision, val end: (ConfigRevision?) -> Unit) {
        var isEnded = false
    }

    private val watches = mutableListOf<Watch>()
    var revision = ConfigRevision(0)
        private set
    var isDown = false
        set(value) {
            field = value
            if (value) watches.toList().forEach { end(it, null) }
        }
    var latency: Duration = 3.milliseconds

    /** Number of reads and watches received so far. */
    var calls = 0L
        private set

    /** Accepts one ticket, which makes the next revision. */
    fun accept() {
        revision = revision.next()
        watches.toList().filter { isReachable(it.node) }.forEach { end(it, revision) }
    }

    /** Passes the newest revision to [end], or null if the call fails. */
    fun read(node: SimulatedNode, end: (ConfigRevision?) -> Unit) {
        if (!isReachable(node)) return clock.after(CALL_TIMEOUT) { end(null) }
        calls++
        if (isDown) return clock.after(latency) { end(null) }
        clock.after(latency) {
            val answer = revision
            if (isReachable(node)) clock.after(latency) { end(answer) } else clock.after(CALL_TIMEOUT) { end(null) }
        }
    }

    /**
     * Waits up to [wait] for a revision newer than [seen], and passes it to [end]: [seen] if there was none, null if
     * the call fails. A watch that loses its connection to the store ends only by timeout.
     */
    fun watch(node: SimulatedNode, seen: ConfigRevision, wait: Duration, end: (ConfigRevision?) -> Unit) {
        if (!isReachable(node)) return clock.after(wait + CALL_TIMEOUT) { end(null) }
        calls++
        val watch = Watch(node, seen, end)
        if (isDown) return end(watch, null)
        if (revision > seen) return end(watch, revision)
        watches += watch
        clock.after(wait) {
            if (isReachable(node)) end(watch, seen) else clock.after(CALL_TIMEOUT) { end(watch, null) }
        }
    }

    private fun end(watch: Watch, answer: ConfigRevision?) {
        if (watch.isEnded) return
        watch.isEnded = true
        watches -= watch
        clock.after(latency) { watch.end(answer) }
    }
}
