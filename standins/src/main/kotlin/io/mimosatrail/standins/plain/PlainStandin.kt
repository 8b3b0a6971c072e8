package io.mimosatrail.standins.plain

import io.mimosatrail.standins.DropConnection
import io.mimosatrail.standins.Standin
import io.mimosatrail.standins.StandinServer
import io.mimosatrail.standins.errorResponse
import io.mimosatrail.standins.faults.FaultSwitch
import io.mimosatrail.standins.faults.blockWhile
import io.mimosatrail.standins.faults.delayBy
import io.mimosatrail.standins.jsonResponse
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Stand-in of a plain service that records reports.
 *
 * Each executed `POST` adds a record, even if its idempotency key repeats, so that tests detect a call that ran twice.
 * Each call takes [workMillis].
 */
class PlainStandin(port: Int = 0, private val workMillis: Long = 0) : Standin {
    /** The active faults. */
    val faults = FaultSwitch(PlainFaults(), PlainFaults.serializer())

    private val recorded = CopyOnWriteArrayList<PlainRecord>()
    private val lastId = AtomicLong()
    private val running = AtomicInteger()

    @Volatile
    private var isStopped = false
    private val server = StandinServer(port, handler())

    override val url: String get() = server.url

    /** All records so far, in order of creation. */
    val records: List<PlainRecord> get() = recorded.toList()

    fun start(): PlainStandin {
        server.start()
        return this
    }

    override fun stop() {
        isStopped = true
        server.stop()
    }

    private fun handler(): HttpHandler {
        val router = routes(
            faults.routes(),
            "/standin/records" bind Method.GET to { jsonResponse(RecordsBody(records)) },
            "/load" bind Method.GET to { jsonResponse(LoadBody(running.get(), 0)) },
            "/status/{name}" bind Method.GET to { request -> withWork { status(request.path("name").orEmpty()) } },
            "/{collection}" bind Method.POST to { request -> withWork { record(request) } },
            "/{collection}/{id}" bind Method.GET to { request -> withWork { find(request) } },
        )
        return { request -> if (isDead(request)) throw DropConnection() else router(request) }
    }

    private fun isDead(request: Request) = faults.current.dead && !request.uri.path.startsWith("/standin/")

    private fun withWork(action: () -> Response): Response {
        running.incrementAndGet()
        try {
            delayBy(workMillis)
            return action()
        } finally {
            running.decrementAndGet()
        }
    }

    private fun record(request: Request): Response {
        if (consumeClosedBefore()) throw DropConnection()
        if (consumeErrorBefore()) return failure()
        val record =
            PlainRecord(lastId.incrementAndGet(), request.path("collection").orEmpty(), key(request), body(request))
        recorded += record
        delayBy(faults.current.answerDelayMillis)
        return respondTo(record)
    }

    private fun respondTo(record: PlainRecord): Response {
        if (consumeErrorAfter()) return failure()
        val isSilent = consumeSilentAfter()
        if (isSilent) blockWhile { !isStopped }
        if (isSilent || consumeClosedAfter() || faults.current.dead) throw DropConnection()
        return jsonResponse(CreatedBody(record.id), Status.CREATED)
    }

    private fun find(request: Request): Response {
        val id = request.path("id").orEmpty().toLongOrNull()
        val found = recorded.firstOrNull { it.id == id && it.collection == request.path("collection") }
        delayBy(faults.current.answerDelayMillis)
        return found?.let { jsonResponse(it) } ?: errorResponse(Status.NOT_FOUND, "not-found", "no such record")
    }

    private fun status(name: String): Response {
        delayBy(faults.current.answerDelayMillis)
        return jsonResponse(StatusBody(name, "ok"))
    }

    private fun key(request: Request) = request.header("idempotency-key")

    private fun body(request: Request) = request.bodyString()

    private fun failure() = errorResponse(Status.INTERNAL_SERVER_ERROR, "failed", "the service failed")

    private fun consumeClosedBefore() =
        faults.consume({ it.closedBeforeRecord > 0 }, { it.copy(closedBeforeRecord = it.closedBeforeRecord - 1) })

    private fun consumeErrorBefore() =
        faults.consume({ it.errorsBeforeRecord > 0 }, { it.copy(errorsBeforeRecord = it.errorsBeforeRecord - 1) })

    private fun consumeClosedAfter() =
        faults.consume({ it.closedAfterRecord > 0 }, { it.copy(closedAfterRecord = it.closedAfterRecord - 1) })

    private fun consumeErrorAfter() =
        faults.consume({ it.errorsAfterRecord > 0 }, { it.copy(errorsAfterRecord = it.errorsAfterRecord - 1) })

    private fun consumeSilentAfter() =
        faults.consume({ it.silentAfterRecord > 0 }, { it.copy(silentAfterRecord = it.silentAfterRecord - 1) })
}
