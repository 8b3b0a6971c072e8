package io.mimosatrail.standins.platform

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** The runners of one platform by address, and how often they ran each request. */
class RunnerFleet {
    internal val runners = ConcurrentHashMap<String, RunnerStandin>()
    private val pendingRefusals = AtomicInteger()
    private val runs = ConcurrentHashMap<String, AtomicInteger>()

    /** Number of times that the runners started to run the request with this attempt ID. */
    fun runCount(id: String): Int = runs[id]?.get() ?: 0

    /** Runners crash as they begin to answer a request whose prompt contains this part. Null if there is none. */
    @Volatile
    var crashingPart: String? = null

    /** Number of crashes under [crashingPart]. */
    val crashes = AtomicInteger()

    /**
     * Decides by the path, body and workspace of a stream's request whether the last engine of its path crashes as the
     * stream begins. Called once for each such request that an engine begins to run.
     */
    @Volatile
    var crashesLastEngine: (path: String, body: String, workspace: String) -> Boolean = { _, _, _ -> false }

    /** Makes the runners refuse the next [count] requests without running them. */
    fun refuseNext(count: Int) = pendingRefusals.set(count)

    /** Whether the current request is to be refused. Decrements the number of refusals left. */
    internal fun consumeRefusal(): Boolean = pendingRefusals.getAndUpdate { (it - 1).coerceAtLeast(0) } > 0

    internal fun recordRun(id: String) {
        runs.getOrPut(id) { AtomicInteger() }.incrementAndGet()
    }

    /**
     * Address of the first engine of [path] that is down, lacks the layers of its stage or does not continue the stage
     * before. Null if the path covers all [layers] layers of the model.
     */
    internal fun firstFaultyAddress(path: List<PathStage>, layers: Int): String? {
        var nextLayer = 0
        for (stage in path) {
            val runner = runners[stage.address]
            val hasLayers =
                runner?.layers?.let { stage.firstLayer >= it.first && stage.endLayer <= it.last + 1 } ?: false
            val isAbsent = runner == null || runner.isDown || runner.isRestarting
            if (stage.firstLayer != nextLayer || !hasLayers || isAbsent) return stage.address
            nextLayer = stage.endLayer
        }
        return if (nextLayer == layers) null else path.last().address
    }
}

/** One stage of the path in a request: layers [firstLayer] to before [endLayer], run by the engine at [address]. */
internal data class PathStage(val address: String, val firstLayer: Int, val endLayer: Int) {
    companion object {
        /** Parses stages of the form `host:port=first-end`, separated by commas. */
        fun parse(text: String): List<PathStage> = text.split(',').map { stage ->
            val (address, range) = stage.trim().split('=')
            val (firstLayer, endLayer) = range.split('-').map(String::toInt)
            PathStage(address, firstLayer, endLayer)
        }
    }
}
