package io.mimosatrail.standins.engine

import io.mimosatrail.standins.DropConnection
import io.mimosatrail.standins.Standin
import io.mimosatrail.standins.StandinServer
import io.mimosatrail.standins.decodeBody
import io.mimosatrail.standins.errorResponse
import io.mimosatrail.standins.faults.FaultSwitch
import io.mimosatrail.standins.faults.blockWhile
import io.mimosatrail.standins.jsonResponse
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

private const val POLL_MILLIS = 50L

/** Stand-in of a model engine. It runs its assigned layers of a [ToyModel]. */
class EngineStandin(private val settings: EngineSettings = EngineSettings(), port: Int = 0) : Standin {
    /** The active faults. */
    val faults = FaultSwitch(EngineFaults(), EngineFaults.serializer())

    private val engine = EngineCore(settings)
    private val batches = BatchLoop(settings, faults, engine)

    @Volatile
    private var isStopped = false
    private val server = StandinServer(port, withFaults(handler()))

    override val url: String get() = server.url

    /** The whole model of which this engine serves some layers. */
    val toyModel: ToyModel get() = engine.assignment.toyModel

    /** The runs of each sequence so far. */
    val runs: RunRecords
        get() = RunRecords(engine.assignment.layers.first, engine.assignment.layers.end, engine.sequences.records())

    /** Accepted and rejected orders in order of arrival. */
    val orders: List<OrderRecord> get() = engine.orders()

    fun start(): EngineStandin {
        server.start()
        batches.start("engine-${settings.firstLayer}-${settings.endLayer}")
        return this
    }

    override fun stop() {
        isStopped = true
        batches.stop()
        server.stop()
    }

    private fun handler(): HttpHandler = routes(
        "/v1/engine" bind Method.GET to { jsonResponse(description()) },
        "/v1/run" bind Method.POST to ::run,
        "/v1/sequences/{id}" bind Method.DELETE to { request -> free(request.id()) },
        "/v1/sequences/{id}/kv" bind Method.GET to { request -> export(request.id()) },
        "/v1/sequences/{id}/kv" bind Method.PUT to { request -> import(request.id(), request.decodeBody()) },
        "/v1/orders" bind Method.POST to { request -> order(request.decodeBody()) },
        "/v1/cache-events" bind Method.GET to { request ->
            jsonResponse(engine.cache.eventsAfter(request.query("after")?.toLong() ?: 0))
        },
    )

    /** Applies the faults to [next]. The `/standin` routes still work if the engine is frozen or dead. */
    private fun withFaults(next: HttpHandler): HttpHandler {
        val faulty: HttpHandler = { request ->
            applyFaults()
            val response = next(request)
            applyFaults()
            response
        }
        return routes(
            faults.routes(),
            "/standin/runs" bind Method.GET to { jsonResponse(runs) },
            "/standin/orders" bind Method.GET to { jsonResponse(OrderRecords(orders)) },
            "/{path:.*}" bind faulty,
        )
    }

    private fun applyFaults() {
        blockWhile { faults.current.frozen && !isStopped }
        if (faults.current.dead) {
            engine.clearCaches()
            throw DropConnection()
        }
    }

    private fun description() = engine.describe(batches.running, batches.waiting)

    private fun run(request: Request): Response {
        if (faults.consume({ it.errors > 0 }, { it.copy(errors = it.errors - 1) })) {
            return errorResponse(Status.INTERNAL_SERVER_ERROR, "failed", "the engine failed before running")
        }
        val pending = request.decodeBody<RunBody>().items.map { submit(it) }
        return jsonResponse(ResultsBody(pending.map { await(it) }))
    }

    private fun submit(item: ItemBody): CompletableFuture<ResultBody> {
        val assignment = engine.assignment
        val inputs = assignment.inputsOf(item)
            ?: return CompletableFuture.completedFuture(ResultBody(item.sequence, error = "bad-input"))
        return batches.submit(item, inputs, assignment)
    }

    private fun await(result: CompletableFuture<ResultBody>): ResultBody {
        while (true) {
            if (faults.current.dead || isStopped) throw DropConnection()
            try {
                return result.get(POLL_MILLIS, TimeUnit.MILLISECONDS)
            } catch (e: TimeoutException) {
                continue
            }
        }
    }

    private fun free(sequence: String): Response {
        engine.sequences.free(sequence)
        return Response(Status.NO_CONTENT)
    }

    private fun export(sequence: String): Response = engine.sequences.export(sequence)?.let { jsonResponse(it) }
        ?: errorResponse(Status.NOT_FOUND, "unknown-sequence", "no sequence $sequence")

    private fun import(sequence: String, body: KvBody): Response {
        val states = body.state.toLongs()
        return when {
            states == null || states.size != engine.layerCount ->
                errorResponse(Status.BAD_REQUEST, "bad-input", "the state is not one of ${engine.layerCount} layers")
            engine.sequences.import(sequence, body.positions, states) -> Response(Status.NO_CONTENT)
            else -> errorResponse(
                Status.SERVICE_UNAVAILABLE,
                "out-of-memory",
                "no room for ${body.positions} positions",
            )
        }
    }

    private fun order(order: OrderBody): Response {
        if (!engine.apply(order)) {
            return errorResponse(Status.CONFLICT, "stale-fencing", "fencing number ${order.fencing} is old")
        }
        if (faults.consume({ it.lostOrders > 0 }, { it.copy(lostOrders = it.lostOrders - 1) })) throw DropConnection()
        return jsonResponse(description())
    }

    private fun Request.id() = path("id").orEmpty()
}
