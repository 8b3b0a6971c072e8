package io.mimosatrail.standins.platform

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** The runners of one platform, and what they ran. */
class RunnerFleet {
    internal val runners = ConcurrentHashMap<String, RunnerStandin>()
    private val refusalsLeft = AtomicInteger()
    private val runs = ConcurrentHashMap<String, AtomicInteger>()

    /** How often the request with [id] was begun by any runner. */
    fun runsOf(id: String): Int = runs[id]?.get() ?: 0

    /** Lets the runners refuse the next [count] requests for want of room. */
    fun refuseNext(count: Int) = refusalsLeft.set(count)

    internal fun takeRefusal(): Boolean = refusalsLeft.getAndUpdate { (it - 1).coerceAtLeast(0) } > 0

    internal fun onRun(id: String) {
        runs.getOrPut(id) { AtomicInteger() }.incrementAndGet()
    }

    /** Address of the first engine of a path that does not hold its part or is down, null where all do. */
    internal fun faultOf(path: List<PathStage>, layers: Int): String? {
        var next = 0
        for (stage in path) {
            val runner = runners[stage.address]
            val holds = runner?.layers?.let { stage.first >= it.first && stage.end <= it.last + 1 } ?: false
            if (stage.first != next || !holds || runner?.isDown == true) return stage.address
            next = stage.end
        }
        return if (next == layers) null else path.last().address
    }
}

/** One part of a path as a request names it. */
internal data class PathStage(val address: String, val first: Int, val end: Int) {
    companion object {
        /** Parses `host:port=first-end`, separated by commas. */
        fun parse(text: String): List<PathStage> = text.split(',').map { part ->
            val (address, range) = part.trim().split('=')
            val (first, end) = range.split('-').map(String::toInt)
            PathStage(address, first, end)
        }
    }
}
