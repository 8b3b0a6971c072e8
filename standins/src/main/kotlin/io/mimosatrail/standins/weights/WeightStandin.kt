package io.mimosatrail.standins.weights

import io.mimosatrail.standins.Standin
import io.mimosatrail.standins.StandinServer
import io.mimosatrail.standins.errorResponse
import io.mimosatrail.standins.faults.FaultSwitch
import io.mimosatrail.standins.faults.delayBy
import io.mimosatrail.standins.jsonResponse
import kotlinx.serialization.Serializable
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes

private const val MILLIS_PER_SECOND = 1_000.0
private const val NANOS_PER_MILLI = 1_000_000L

/** Faults of the weight store. With [outage] it responds with 503. [slowFactor] multiplies the time of each load. */
@Serializable
data class WeightFaults(val outage: Boolean = false, val slowFactor: Double = 1.0)

@Serializable
internal data class WeightsBody(val model: String, val version: String, val layers: Int)

/**
 * Stand-in of the weight store. It processes one load at a time, at [layersPerSecond], and responds when the load is
 * done. A load that would wait longer than [maxQueueMillis] to start is refused with 429.
 */
class WeightStandin(
    port: Int = 0,
    private val layersPerSecond: Double = 100.0,
    private val maxQueueMillis: Long = 10_000,
) : Standin {
    /** The active faults. */
    val faults = FaultSwitch(WeightFaults(), WeightFaults.serializer())

    private var busyUntilMillis = 0L
    private val server = StandinServer(port, handler())

    override val url: String get() = server.url

    fun start(): WeightStandin {
        server.start()
        return this
    }

    override fun stop() = server.stop()

    private fun handler(): HttpHandler = routes(
        faults.routes(),
        "/v1/weights/{model}/{version}" bind Method.GET to ::load,
    )

    private fun load(request: Request): Response {
        if (faults.current.outage) {
            return errorResponse(Status.SERVICE_UNAVAILABLE, "unavailable", "the weight store is down")
        }
        val layers = layerCount(request.query("layers").orEmpty())
            ?: return errorResponse(Status.BAD_REQUEST, "bad-input", "layers must read A-B with A below B")
        val wait = reserve(layers) ?: return errorResponse(Status.TOO_MANY_REQUESTS, "busy", "the queue is full")
        delayBy(wait)
        return jsonResponse(WeightsBody(request.path("model").orEmpty(), request.path("version").orEmpty(), layers))
    }

    /** Queues a load of [layers]. Returns the milliseconds until it is done, or null if it would wait too long. */
    @Synchronized
    private fun reserve(layers: Int): Long? {
        val now = System.nanoTime() / NANOS_PER_MILLI
        val start = maxOf(now, busyUntilMillis)
        if (start - now > maxQueueMillis) return null
        busyUntilMillis = start + (layers / layersPerSecond * MILLIS_PER_SECOND * faults.current.slowFactor).toLong()
        return busyUntilMillis - now
    }

    /** Number of layers in a range such as `0-4`, whose end is exclusive. Null if the range is malformed or empty. */
    private fun layerCount(range: String): Int? {
        val bounds = range.split("-").mapNotNull { it.toIntOrNull() }
        return if (bounds.size == 2 && bounds[0] < bounds[1]) bounds[1] - bounds[0] else null
    }
}
