package io.mimosatrail.standins.engine

import org.http4k.client.JavaHttpClient
import org.http4k.core.Method
import org.http4k.core.Request
import kotlin.concurrent.thread

private const val NANOS_PER_MILLI = 1_000_000L

/** State of an engine: its assignment, KV caches and prefix cache. Applies orders and loads weights. */
internal class EngineCore(private val settings: EngineSettings) {
    val sequences = SequenceTable(settings)
    val cache = PrefixCache(settings) { System.nanoTime() / NANOS_PER_MILLI }
    private val orders = ArrayList<OrderRecord>()
    private var fencing = 0L
    private var lastLoad = 0L

    @Volatile
    var isLoading = false
        private set

    @Volatile
    var assignment = Assignment(
        settings.model,
        settings.version,
        LayersBody(settings.firstLayer, settings.endLayer),
        settings.modelLayers,
        settings.adapters,
        settings.role,
    )
        private set

    val layerCount: Int get() = assignment.layers.size

    /** Positions that a step must compute for an item: all but its cached prefix. Caches the prefixes at position 0. */
    fun positionsToCompute(pending: PendingItem): Int {
        val cached = if (pending.item.position == 0) cache.store(pending.inputs) else 0
        return pending.item.count - cached
    }

    fun run(pending: PendingItem): ResultBody = if (isLoading) {
        ResultBody(pending.item.sequence, error = "loading")
    } else {
        sequences.run(pending.item, pending.inputs, assignment)
    }

    @Synchronized
    fun orders(): List<OrderRecord> = orders.toList()

    /** Applies an order. Returns false if its fencing number is outdated and the engine checks these numbers. */
    @Synchronized
    fun apply(order: OrderBody): Boolean {
        val accepted = !settings.checksFencing || order.fencing >= fencing
        orders += OrderRecord(order.fencing, order.model, order.version, accepted)
        if (!accepted) return false
        if (settings.checksFencing) fencing = order.fencing
        val target =
            Assignment(order.model, order.version, order.layers, settings.modelLayers, order.adapters, order.role)
        val hasSameWeights = assignment.hasSameWeightsAs(target)
        assignment = target
        if (!hasSameWeights) load(target)
        return true
    }

    @Synchronized
    fun describe(running: Int, waiting: Int) = EngineBody(
        model = assignment.model,
        version = assignment.version,
        layers = assignment.layers,
        modelLayers = assignment.modelLayers,
        kind = settings.acceleratorKind,
        adapters = assignment.adapters,
        role = assignment.role,
        kvBytesPerToken = settings.kvBytesPerToken,
        kvCapacityBytes = settings.kvCapacityBytes,
        kvUsedBytes = sequences.usedBytes,
        running = running,
        waiting = waiting,
        fencing = fencing,
        loading = isLoading,
    )

    /** Deletes all KV caches and cached prefixes. */
    fun clearCaches() {
        sequences.clear()
        cache.clear()
    }

    /** Loads the weights of [target] in the background. A newer load supersedes it. */
    private fun load(target: Assignment) {
        lastLoad++
        val number = lastLoad
        isLoading = true
        clearCaches()
        thread(name = "engine-load", isDaemon = true) {
            fetchWeights(target)
            Thread.sleep(settings.loadMillis)
            endLoad(number)
        }
    }

    @Synchronized
    private fun endLoad(number: Long) {
        if (number == lastLoad) isLoading = false
    }

    private fun fetchWeights(target: Assignment) {
        val weights = settings.weightsUrl ?: return
        val request = Request(Method.GET, "$weights/v1/weights/${target.model}/${target.version}")
            .query("layers", "${target.layers.first}-${target.layers.end}")
        val client = JavaHttpClient()
        while (!client(request).status.successful) {
            Thread.sleep(settings.loadMillis)
        }
    }
}
