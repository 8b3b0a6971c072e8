package io.mimosatrail.standins.engine

import org.http4k.client.JavaHttpClient
import org.http4k.core.Method
import org.http4k.core.Request
import kotlin.concurrent.thread

private const val NANOS_PER_MILLI = 1_000_000L

/** What an engine holds and the rules of its orders. */
internal class EngineCore(private val settings: EngineSettings) {
    val sequences = SequenceTable(settings)
    val cache = PrefixCache(settings) { System.nanoTime() / NANOS_PER_MILLI }
    private val orders = ArrayList<OrderRecord>()
    private var fencing = 0L
    private var lastLoad = 0L

    @Volatile
    var loading = false
        private set

    @Volatile
    var holding = Holding(
        settings.model,
        settings.version,
        LayersBody(settings.firstLayer, settings.endLayer),
        settings.modelLayers,
        settings.adapters,
        settings.role,
    )
        private set

    val layerCount: Int get() = holding.layers.size

    /** Positions of an item that a step must compute, without those of a cached prefix. */
    fun positionsToCompute(pending: PendingItem): Int {
        val cached = if (pending.item.position == 0) cache.store(pending.inputs) else 0
        return pending.item.count - cached
    }

    fun runNow(pending: PendingItem): ResultBody = if (loading) {
        ResultBody(pending.item.sequence, error = "loading")
    } else {
        sequences.run(pending.item, pending.inputs, holding)
    }

    @Synchronized
    fun orders(): List<OrderRecord> = orders.toList()

    /** Takes an order; false where its fencing number is old and the engine checks it. */
    @Synchronized
    fun order(order: OrderBody): Boolean {
        val accepted = !settings.checksFencing || order.fencing >= fencing
        orders += OrderRecord(order.fencing, order.model, order.version, accepted)
        if (!accepted) return false
        if (settings.checksFencing) fencing = order.fencing
        val target =
            Holding(order.model, order.version, order.layers, settings.modelLayers, order.adapters, order.role)
        val sameWeights = holding.hasWeightsOf(target)
        holding = target
        if (!sameWeights) load(target)
        return true
    }

    @Synchronized
    fun describe(running: Int, waiting: Int) = EngineBody(
        model = holding.model,
        version = holding.version,
        layers = holding.layers,
        modelLayers = holding.modelLayers,
        kind = settings.kind,
        adapters = holding.adapters,
        role = holding.role,
        kvBytesPerToken = settings.kvBytesPerToken,
        kvCapacityBytes = settings.kvCapacityBytes,
        kvUsedBytes = sequences.usedBytes,
        running = running,
        waiting = waiting,
        fencing = fencing,
        loading = loading,
    )

    /** Loses every KV cache. */
    fun forget() {
        sequences.clear()
        cache.clear()
    }

    private fun load(target: Holding) {
        lastLoad++
        val number = lastLoad
        loading = true
        forget()
        thread(name = "engine-load", isDaemon = true) {
            fetchWeights(target)
            Thread.sleep(settings.loadMillis)
            endLoad(number)
        }
    }

    @Synchronized
    private fun endLoad(number: Long) {
        if (number == lastLoad) loading = false
    }

    private fun fetchWeights(target: Holding) {
        val weights = settings.weightsUrl ?: return
        val request = Request(Method.GET, "$weights/v1/weights/${target.model}/${target.version}")
            .query("layers", "${target.layers.first}-${target.layers.end}")
        val client = JavaHttpClient()
        while (!client(request).status.successful) {
            Thread.sleep(settings.loadMillis)
        }
    }
}
