package io.mimosatrail.standins.weights

import io.mimosatrail.standins.Standin
import io.mimosatrail.standins.StandinServer
import io.mimosatrail.standins.answer
import io.mimosatrail.standins.faults.FaultSwitch
import io.mimosatrail.standins.faults.delayBy
import io.mimosatrail.standins.refuse
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

/** Faults of the weight store: [outage] answers 503, and [slowFactor] stretches every load. */
@Serializable
data class WeightFaults(val outage: Boolean = false, val slowFactor: Double = 1.0)

@Serializable
internal data class WeightsBody(val model: String, val version: String, val layers: Int)

/**
 * Stand-in of the weight store: answers after the time that [layersPerSecond] demands, one load after another, and
 * refuses with 429 what would wait longer than [queueMillis]. Its faults are [WeightFaults].
 */
class WeightStandin(
    port: Int = 0,
    private val layersPerSecond: Double = 100.0,
    private val queueMillis: Long = 10_000,
) : Standin {
    /** Faults in force. */
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
        if (faults.current.outage) return refuse(Status.SERVICE_UNAVAILABLE, "unavailable", "the weight store is down")
        val layers = layerCount(request.query("layers").orEmpty())
            ?: return refuse(Status.BAD_REQUEST, "bad-input", "layers must read A-B with A below B")
        val wait = reserve(layers) ?: return refuse(Status.TOO_MANY_REQUESTS, "busy", "the queue is full")
        delayBy(wait)
        return answer(WeightsBody(request.path("model").orEmpty(), request.path("version").orEmpty(), layers))
    }

    /** Milliseconds until a load of [layers] is done, or null where it would wait too long. */
    @Synchronized
    private fun reserve(layers: Int): Long? {
        val now = System.nanoTime() / NANOS_PER_MILLI
        val start = maxOf(now, busyUntilMillis)
        if (start - now > queueMillis) return null
        busyUntilMillis = start + (layers / layersPerSecond * MILLIS_PER_SECOND * faults.current.slowFactor).toLong()
        return busyUntilMillis - now
    }

    private fun layerCount(range: String): Int? {
        val bounds = range.split("-").mapNotNull { it.toIntOrNull() }
        return if (bounds.size == 2 && bounds[0] < bounds[1]) bounds[1] - bounds[0] else null
    }
}
