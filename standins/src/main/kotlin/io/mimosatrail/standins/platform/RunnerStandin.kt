package io.mimosatrail.standins.platform

import com.sun.net.httpserver.HttpExchange
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val HEARTBEAT_MILLIS = 100L
private const val RESTART_MILLIS = 300L
private const val STALL_MILLIS = 1_000L

/** An engine that is waited for by others is missed for longer than the wait lasts. */
private const val LATER_STAGE_RESTART_MILLIS = 1_500L
private const val ATTEMPT_ID_HEADER = "X-Mimosatrail-Attempt-Id"
private const val SEAL_HEADER = "X-Mimosatrail-Runner-Seal"

/**
 * Settings of a [RunnerStandin]. [modelLayers] counts the layers of the whole model. Plain servers have 0, and null as
 * [acceleratorKind]. A stream consists of [eventCount] events at intervals of [eventIntervalMillis].
 */
class RunnerSettings(
    val id: String,
    val service: String,
    val place: String,
    val acceleratorKind: String? = null,
    val modelLayers: Int = 0,
    val eventCount: Int = 30,
    val eventIntervalMillis: Long = 10,
)

/** Stand-in of a model engine or plain server that registers itself in [store]. */
class RunnerStandin(
    private val settings: RunnerSettings,
    private val store: KvStandin,
    private val fleet: RunnerFleet,
) : AutoCloseable {
    private val server = LoopbackServer(::serve)
    private val heartbeats = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }

    @Volatile
    private var startedAtMillis = System.currentTimeMillis()

    /** The runner is back from a crash at this time, in Unix milliseconds. */
    @Volatile
    private var restartedAtMillis = 0L

    /** True from a crash until the runner is back. */
    internal val isRestarting: Boolean get() = System.currentTimeMillis() < restartedAtMillis
    private val orders = AtomicInteger()
    private val responsesToDrop = AtomicInteger()

    /** Layers assigned by the last order; null before the first one and for plain servers. */
    @Volatile
    internal var layers: IntRange? = null
        private set

    /** While true, requests are refused and streams with a stage on this runner stall. */
    @Volatile
    var isDown = false

    /** Whether this runner can be the first stage of a stream. */
    val hasFirstLayer: Boolean get() = layers?.first == 0

    /** While true, the runner is registered as draining and refuses requests. */
    @Volatile
    var isDraining = false

    /** Requests per second that the runner announces to accept; null if it announces no limit. */
    @Volatile
    var announcedLimit: Double? = null

    /** How long requests wait before they are refused or run. */
    @Volatile
    var delayMillis = 0L

    /** While true, all answers say that the runner is leaving; it is registered as before and serves requests. */
    @Volatile
    var isLeaving = false

    /** Value of `Retry-After` in the refusals of all requests; null while the runner serves them. */
    @Volatile
    var retryAfter: String? = null
    private val arrivals = ConcurrentLinkedQueue<Long>()
    private val stageArrivals = ConcurrentLinkedQueue<Long>()
    private val calls = ConcurrentLinkedQueue<Long>()

    /** Times at which requests arrived, in nanoseconds of [System.nanoTime]. */
    val arrivalNanos: List<Long> get() = arrivals.toList()

    /** Times at which requests arrived of which this runner is a stage, the first or a later one. */
    val stageArrivalNanos: List<Long> get() = stageArrivals.toList()

    /** Times at which anything arrived: requests, also as a later stage, health checks, reports and orders. */
    val allArrivalNanos: List<Long> get() = stageArrivals + calls

    init {
        fleet.runners[server.address] = this
        heartbeats.scheduleAtFixedRate(::register, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Address as `host:port`. */
    val address: String get() = server.address

    /** Makes the runner run the next [count] requests but close their connections without a response. */
    fun dropNextResponses(count: Int) = responsesToDrop.set(count)

    /** Removes the runner from the registry and closes its connections. */
    override fun close() {
        isDown = true
        heartbeats.shutdownNow()
        store.delete("servers/${settings.id}")
        fleet.runners.remove(server.address)
        server.close()
    }

    /** Writes the registry entry of this runner. */
    private fun register() {
        val state = if (isDraining) "draining" else "ready"
        val engine = settings.acceleratorKind?.let { ""","RouteKind":"$it","Layers":${layersJson()}""" }.orEmpty()
        store.put(
            "servers/${settings.id}",
            """{"Service":"${settings.service}","Address":"$address","Zone":"${settings.place}","Version":"v1",""" +
                """"Slots":8,"State":"$state","ColdRemainingMs":0,"born":$startedAtMillis$engine}""",
        )
    }

    private fun layersJson() = layers?.let { """[{"Source":${it.first},"To":${it.last + 1},"Version":1}]""" } ?: "[]"

    private fun serve(exchange: HttpExchange) {
        if (isRestarting) return
        val body = exchange.requestBody.readAllBytes().decodeToString()
        val path = exchange.requestURI.path
        if (isLeaving) exchange.responseHeaders["Server-Leaving"] = "1"
        if (path == "/report" || path == "/order" || path == "/health") calls += System.nanoTime()
        when {
            path == "/report" -> exchange.respond(200, report())
            path == "/order" -> handleOrder(exchange, body)
            path == "/health" -> exchange.respond(if (isDraining) 503 else 200, "")
            else -> handleRequest(exchange, body)
        }
    }

    private fun report(): String {
        val stalled = fleet.runners.values.filter {
            it.isDown || it.isRestarting
        }.joinToString(",") { """{"Address":"${it.address}"}""" }
        return """{"Layers":${layersJson()},"Busy":false,"Sequence":${orders.get()},"pace":1.0,""" +
            """"StalledServers":[$stalled]}"""
    }

    private fun handleOrder(exchange: HttpExchange, body: String) {
        val order = Json.parseToJsonElement(body).jsonObject
        if (order["Operation"]?.jsonPrimitive?.content != "place") return exchange.respond(404, "")
        if (order["Expected"]?.jsonPrimitive?.long != orders.get().toLong()) return exchange.respond(409, "")
        orders.incrementAndGet()
        layers = order.getValue("Source").jsonPrimitive.int until order.getValue("To").jsonPrimitive.int
        exchange.respond(202, "")
    }

    private fun handleRequest(exchange: HttpExchange, body: String) {
        arrivals += System.nanoTime()
        announcedLimit?.let { exchange.responseHeaders["Server-Limit"] = it.toString() }
        val headers = exchange.requestHeaders
        val id = headers.getFirst(ATTEMPT_ID_HEADER).orEmpty()
        val expected = headers.getFirst("X-Mimosatrail-Expected-Instance")
        exchange.responseHeaders[ATTEMPT_ID_HEADER] = id
        if (expected != null && expected != settings.id) return exchange.respond(421, "")
        val path = headers.getFirst("X-Mimosatrail-Hop-Count")
        recordStages(path)
        Thread.sleep(delayMillis)
        retryAfter?.let { exchange.responseHeaders["Retry-After"] = it }
        val isUnwilling = retryAfter != null || isDown || isDraining
        if (isUnwilling || fleet.consumeRefusal()) return refuse(exchange, address)
        if (path != null) {
            fleet.firstFaultyAddress(PathStage.parse(path), settings.modelLayers)?.let { return refuse(exchange, it) }
        }
        fleet.recordRun(id)
        if (responsesToDrop.getAndUpdate { (it - 1).coerceAtLeast(0) } > 0) return
        exchange.responseHeaders[SEAL_HEADER] = "seal-of-${settings.id}"
        if (path == null) exchange.respond(200, """{"by":"${settings.id}"}""") else sendEvents(exchange, path, body)
    }

    private fun recordStages(path: String?) {
        val stages = path?.let(PathStage::parse)?.mapNotNull { fleet.runners[it.address] } ?: listOf(this)
        stages.forEach { it.stageArrivals += System.nanoTime() }
    }

    /** Writes a part of [event], so that the stream doesn't look complete. */
    private fun HttpExchange.breakOff(event: Int) {
        responseBody.write("id: $event\nda".toByteArray())
        responseBody.flush()
    }

    /** Breaks off all answers and leaves connections without any until the runner is back. */
    private fun crash(restartMillis: Long = RESTART_MILLIS) {
        fleet.crashes.incrementAndGet()
        restartedAtMillis = System.currentTimeMillis() + restartMillis
        startedAtMillis = restartedAtMillis
    }

    private fun refuse(exchange: HttpExchange, faultyAddress: String) {
        exchange.responseHeaders["X-Mimosatrail-Not-Executed"] = "1"
        exchange.responseHeaders["At-Server"] = faultyAddress
        exchange.respond(503, "")
    }

    /** Sends the events after the last one that the caller has. Stalls while an engine of [path] is down. */
    private fun sendEvents(exchange: HttpExchange, path: String, body: String) {
        val stages = PathStage.parse(path)
        val engines = stages.mapNotNull { fleet.runners[it.address] }
        val starts = engines.map { it.startedAtMillis }
        val lastEvent = exchange.requestHeaders.getFirst("Last-Event-Id")?.toInt() ?: 0
        exchange.responseHeaders["Content-Type"] = "text/event-stream"
        exchange.sendResponseHeaders(200, 0)
        val crashingPart = fleet.crashingPart
        val prompt = exchange.requestHeaders.getFirst("X-Mimosatrail-Prompt-Prefix").orEmpty()
        if (crashingPart != null && crashingPart in prompt) {
            exchange.breakOff(lastEvent + 1)
            return crash()
        }
        val workspace = exchange.requestHeaders.getFirst("X-Mimosatrail-Tenant").orEmpty()
        val isDeadly = fleet.crashesLastEngine(exchange.requestURI.path, body, workspace)
        for (event in lastEvent + 1..settings.eventCount) {
            if (isDeadly && event == lastEvent + 2) engines.last().crash(LATER_STAGE_RESTART_MILLIS)
            if (isRestarting) return
            // Work that depended on an engine that has crashed stalls, then it is cut off.
            if (engines.map { it.startedAtMillis } != starts) {
                Thread.sleep(STALL_MILLIS)
                return exchange.breakOff(event)
            }
            while (stages.any { fleet.runners[it.address]?.isDown != false }) {
                if (isDown) return
                Thread.sleep(settings.eventIntervalMillis)
            }
            exchange.responseBody.write("id: $event\ndata: ${stages.size} stages\n\n".toByteArray())
            exchange.responseBody.flush()
            Thread.sleep(settings.eventIntervalMillis)
        }
        exchange.responseBody.close()
    }
}
