package io.mimosatrail.standins.engine

import io.mimosatrail.standins.DropConnection
import io.mimosatrail.standins.Standin
import io.mimosatrail.standins.StandinServer
import io.mimosatrail.standins.answer
import io.mimosatrail.standins.faults.FaultSwitch
import io.mimosatrail.standins.faults.blockWhile
import io.mimosatrail.standins.read
import io.mimosatrail.standins.refuse
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

/** Stand-in of a model engine that runs its layers of a [ToyModel], with the faults of [EngineFaults]. */
class EngineStandin(private val settings: EngineSettings = EngineSettings(), port: Int = 0) : Standin {
    /** Faults in force. */
    val faults = FaultSwitch(EngineFaults(), EngineFaults.serializer())

    private val engine = EngineCore(settings)
    private val batches = BatchLoop(settings, faults, engine)

    @Volatile
    private var stopped = false
    private val server = StandinServer(port, guarded(handler()))

    override val url: String get() = server.url

    /** The whole model of which this engine holds a part. */
    val toyModel: ToyModel get() = engine.holding.toyModel

    /** What was run so far. */
    val runs: RunRecords
        get() = RunRecords(engine.holding.layers.first, engine.holding.layers.end, engine.sequences.records())

    /** Orders so far. */
    val orders: List<OrderRecord> get() = engine.orders()

    fun start(): EngineStandin {
        server.start()
        batches.start("engine-${settings.firstLayer}-${settings.endLayer}")
        return this
    }

    override fun stop() {
        stopped = true
        batches.stop()
        server.stop()
    }

    private fun handler(): HttpHandler = routes(
        "/v1/engine" bind Method.GET to { answer(description()) },
        "/v1/run" bind Method.POST to ::run,
        "/v1/sequences/{id}" bind Method.DELETE to { request -> free(request.id()) },
        "/v1/sequences/{id}/kv" bind Method.GET to { request -> export(request.id()) },
        "/v1/sequences/{id}/kv" bind Method.PUT to { request -> import(request.id(), request.read()) },
        "/v1/orders" bind Method.POST to { request -> order(request.read()) },
        "/v1/cache-events" bind Method.GET to { request ->
            answer(engine.cache.eventsAfter(request.query("after")?.toLong() ?: 0))
        },
    )

    /** Adds the fault switches, which work also where the engine is frozen or dead. */
    private fun guarded(next: HttpHandler): HttpHandler {
        val faulty: HttpHandler = { request ->
            awaitAlive()
            val response = next(request)
            awaitAlive()
            response
        }
        return routes(
            faults.routes(),
            "/standin/runs" bind Method.GET to { answer(runs) },
            "/standin/orders" bind Method.GET to { answer(OrderRecords(orders)) },
            "/{path:.*}" bind faulty,
        )
    }

    private fun awaitAlive() {
        blockWhile { faults.current.frozen && !stopped }
        if (faults.current.dead) {
            engine.forget()
            throw DropConnection()
        }
    }

    private fun description() = engine.describe(batches.running, batches.waiting)

    private fun run(request: Request): Response {
        if (faults.take({ it.errors > 0 }, { it.copy(errors = it.errors - 1) })) {
            return refuse(Status.INTERNAL_SERVER_ERROR, "failed", "the engine failed before running")
        }
        val pending = request.read<RunBody>().items.map { submit(it) }
        return answer(ResultsBody(pending.map { await(it) }))
    }

    private fun submit(item: ItemBody): CompletableFuture<ResultBody> {
        val holding = engine.holding
        val inputs = holding.inputsOf(item)
            ?: return CompletableFuture.completedFuture(ResultBody(item.sequence, error = "bad-input"))
        return batches.submit(item, inputs, holding)
    }

    private fun await(result: CompletableFuture<ResultBody>): ResultBody {
        while (true) {
            if (faults.current.dead || stopped) throw DropConnection()
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

    private fun export(sequence: String): Response = engine.sequences.export(sequence)?.let { answer(it) }
        ?: refuse(Status.NOT_FOUND, "unknown-sequence", "no sequence $sequence")

    private fun import(sequence: String, body: KvBody): Response {
        val states = body.state.toLongs()
        return when {
            states == null || states.size != engine.layerCount ->
                refuse(Status.BAD_REQUEST, "bad-input", "the state is not one of ${engine.layerCount} layers")
            engine.sequences.import(sequence, body.positions, states) -> Response(Status.NO_CONTENT)
            else -> refuse(Status.SERVICE_UNAVAILABLE, "out-of-memory", "no room for ${body.positions} positions")
        }
    }

    private fun order(order: OrderBody): Response {
        if (!engine.order(order)) {
            return refuse(Status.CONFLICT, "stale-fencing", "fencing number ${order.fencing} is old")
        }
        if (faults.take({ it.lostOrders > 0 }, { it.copy(lostOrders = it.lostOrders - 1) })) throw DropConnection()
        return answer(description())
    }

    private fun Request.id() = path("id").orEmpty()
}
