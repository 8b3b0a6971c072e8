package io.mimosatrail.bench.config

import io.mimosatrail.core.id.ConfigRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time after which a call without answer is given up, beyond a watch's own wait. */
private val CALL_TIMEOUT = 2.seconds

/** The platform's store in virtual time, reduced to the newest revision. Each read and each watch is a counted call. */
internal class SimulatedStore(private val time: VirtualTime, private val reachable: (SimulatedNode) -> Boolean) {
    private class Watch(val node: SimulatedNode, val seen: ConfigRevision, val end: (ConfigRevision?) -> Unit) {
        var ended = false
    }

    private val watches = mutableListOf<Watch>()
    var revision = ConfigRevision(0)
        private set
    var outage = false
        set(value) {
            field = value
            if (value) watches.toList().forEach { end(it, null) }
        }
    var latency: Duration = 3.milliseconds

    /** Calls taken so far. */
    var calls = 0L
        private set

    /** Accepts one ticket. */
    fun accept() {
        revision = revision.next()
        watches.toList().filter { reachable(it.node) }.forEach { end(it, revision) }
    }

    /** Reads the newest revision; null where the call fails. */
    fun read(node: SimulatedNode, end: (ConfigRevision?) -> Unit) {
        if (!reachable(node)) return time.after(CALL_TIMEOUT) { end(null) }
        calls++
        if (outage) return time.after(latency) { end(null) }
        time.after(latency) {
            val answer = revision
            if (reachable(node)) time.after(latency) { end(answer) } else time.after(CALL_TIMEOUT) { end(null) }
        }
    }

    /** Waits up to [wait] for a revision past [seen]. A watch whose path is cut ends only with its timeout. */
    fun watch(node: SimulatedNode, seen: ConfigRevision, wait: Duration, end: (ConfigRevision?) -> Unit) {
        if (!reachable(node)) return time.after(wait + CALL_TIMEOUT) { end(null) }
        calls++
        val watch = Watch(node, seen, end)
        if (outage) return end(watch, null)
        if (revision > seen) return end(watch, revision)
        watches += watch
        time.after(wait) { if (reachable(node)) end(watch, seen) else time.after(CALL_TIMEOUT) { end(watch, null) } }
    }

    private fun end(watch: Watch, answer: ConfigRevision?) {
        if (watch.ended) return
        watch.ended = true
        watches -= watch
        time.after(latency) { watch.end(answer) }
    }
}
