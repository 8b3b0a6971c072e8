package io.mimosatrail.standins.platform

import com.sun.net.httpserver.HttpExchange
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val BEAT_MILLIS = 100L
private const val ID = "X-Mimosatrail-Attempt-Id"
private const val SEAL = "X-Mimosatrail-Runner-Seal"

/** How a runner of the stand-in is set up. [kind] and [modelLayers] are set for model engines. */
class RunnerSettings(
    val id: String,
    val service: String,
    val place: String,
    val kind: String? = null,
    val modelLayers: Int = 0,
    val events: Int = 30,
    val eventMillis: Long = 10,
)

/** A model engine or plain server that registers itself in [store] and serves requests on loopback. */
class RunnerStandin(
    private val settings: RunnerSettings,
    private val store: KvStandin,
    private val fleet: RunnerFleet,
) : AutoCloseable {
    private val server = LoopbackServer(::serve)
    private val beats = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
    private val born = System.currentTimeMillis()
    private val orders = AtomicInteger()
    private val answersToLose = AtomicInteger()

    @Volatile
    internal var layers: IntRange? = null
        private set

    /** While set, streams that pass here stall and requests are refused. */
    @Volatile
    var isDown = false

    /** True where streams may begin here. */
    val holdsFirstLayer: Boolean get() = layers?.first == 0

    /** While set, the runner says that it leaves. */
    @Volatile
    var isDraining = false

    init {
        fleet.runners[server.address] = this
        beats.scheduleAtFixedRate(::beat, 0, BEAT_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Address as `host:port`. */
    val address: String get() = server.address

    /** Runs the next [count] requests and closes their connections without an answer. */
    fun loseAnswers(count: Int) = answersToLose.set(count)

    /** Breaks off everything and leaves the registry. */
    override fun close() {
        isDown = true
        beats.shutdownNow()
        store.delete("servers/${settings.id}")
        fleet.runners.remove(server.address)
        server.close()
    }

    private fun beat() {
        val state = if (isDraining) "draining" else "ready"
        val engine = settings.kind?.let { ""","RouteKind":"$it","Layers":${layersJson()}""" }.orEmpty()
        store.put(
            "servers/${settings.id}",
            """{"Service":"${settings.service}","Address":"$address","Zone":"${settings.place}","Version":"v1",""" +
                """"Slots":8,"State":"$state","ColdRemainingMs":0,"born":$born$engine}""",
        )
    }

    private fun layersJson() = layers?.let { """[{"Source":${it.first},"To":${it.last + 1},"Version":1}]""" } ?: "[]"

    private fun serve(call: HttpExchange) {
        val body = call.requestBody.readAllBytes().decodeToString()
        val path = call.requestURI.path
        when {
            path == "/report" -> call.answer(200, report())
            path == "/order" -> order(call, body)
            path == "/health" -> call.answer(if (isDraining) 503 else 200, "")
            else -> request(call)
        }
    }

    private fun report(): String {
        val stalled = fleet.runners.values.filter { it.isDown }.joinToString(",") { """{"Address":"${it.address}"}""" }
        return """{"Layers":${layersJson()},"Busy":false,"Sequence":${orders.get()},"pace":1.0,""" +
            """"StalledServers":[$stalled]}"""
    }

    private fun order(call: HttpExchange, body: String) {
        val order = Json.parseToJsonElement(body).jsonObject
        if (order["Operation"]?.jsonPrimitive?.content != "place") return call.answer(404, "")
        if (order["Expected"]?.jsonPrimitive?.long != orders.get().toLong()) return call.answer(409, "")
        orders.incrementAndGet()
        layers = order.getValue("Source").jsonPrimitive.int until order.getValue("To").jsonPrimitive.int
        call.answer(202, "")
    }

    private fun request(call: HttpExchange) {
        val headers = call.requestHeaders
        val id = headers.getFirst(ID).orEmpty()
        val expected = headers.getFirst("X-Mimosatrail-Expected-Instance")
        call.responseHeaders[ID] = id
        if (expected != null && expected != settings.id) return call.answer(421, "")
        if (isDown || isDraining || fleet.takeRefusal()) return refuse(call, address)
        val path = headers.getFirst("X-Mimosatrail-Hop-Count")
        if (path != null) {
            fleet.faultOf(PathStage.parse(path), settings.modelLayers)?.let { return refuse(call, it) }
        }
        fleet.onRun(id)
        if (answersToLose.getAndUpdate { (it - 1).coerceAtLeast(0) } > 0) return
        call.responseHeaders[SEAL] = "seal-of-${settings.id}"
        if (path == null) call.answer(200, """{"by":"${settings.id}"}""") else stream(call, path)
    }

    private fun refuse(call: HttpExchange, at: String) {
        call.responseHeaders["X-Mimosatrail-Not-Executed"] = "1"
        call.responseHeaders["At-Server"] = at
        call.answer(503, "")
    }

    /** Sends numbered events; stalls while an engine of the path is down. */
    private fun stream(call: HttpExchange, path: String) {
        val stages = PathStage.parse(path)
        val from = call.requestHeaders.getFirst("Last-Event-Id")?.toInt() ?: 0
        call.responseHeaders["Content-Type"] = "text/event-stream"
        call.sendResponseHeaders(200, 0)
        for (event in from + 1..settings.events) {
            while (stages.any { fleet.runners[it.address]?.isDown != false }) {
                if (isDown) return
                Thread.sleep(settings.eventMillis)
            }
            call.responseBody.write("id: $event\ndata: ${stages.size} stages\n\n".toByteArray())
            call.responseBody.flush()
            Thread.sleep(settings.eventMillis)
        }
        call.responseBody.close()
    }
}
