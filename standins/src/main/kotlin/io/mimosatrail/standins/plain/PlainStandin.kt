package io.mimosatrail.standins.plain

import io.mimosatrail.standins.DropConnection
import io.mimosatrail.standins.Standin
import io.mimosatrail.standins.StandinServer
import io.mimosatrail.standins.answer
import io.mimosatrail.standins.faults.FaultSwitch
import io.mimosatrail.standins.faults.blockWhile
import io.mimosatrail.standins.faults.delayBy
import io.mimosatrail.standins.refuse
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
 * Stand-in of a plain service that records reports, with the faults of [PlainFaults].
 *
 * It makes one record for each `POST` that it acts on, whatever its key, so that a call run twice shows. Each call
 * takes [workMillis].
 */
class PlainStandin(port: Int = 0, private val workMillis: Long = 0) : Standin {
    /** Faults in force. */
    val faults = FaultSwitch(PlainFaults(), PlainFaults.serializer())

    private val made = CopyOnWriteArrayList<PlainRecord>()
    private val lastId = AtomicLong()
    private val running = AtomicInteger()

    @Volatile
    private var stopped = false
    private val server = StandinServer(port, handler())

    override val url: String get() = server.url

    /** Records made so far, in order. */
    val records: List<PlainRecord> get() = made.toList()

    fun start(): PlainStandin {
        server.start()
        return this
    }

    override fun stop() {
        stopped = true
        server.stop()
    }

    private fun handler(): HttpHandler {
        val all = routes(
            faults.routes(),
            "/standin/records" bind Method.GET to { answer(RecordsBody(records)) },
            "/load" bind Method.GET to { answer(LoadBody(running.get(), 0)) },
            "/status/{name}" bind Method.GET to { request -> work { status(request.path("name").orEmpty()) } },
            "/{collection}" bind Method.POST to { request -> work { record(request) } },
            "/{collection}/{id}" bind Method.GET to { request -> work { find(request) } },
        )
        return { request -> if (isDead(request)) throw DropConnection() else all(request) }
    }

    private fun isDead(request: Request) = faults.current.dead && !request.uri.path.startsWith("/standin/")

    private fun work(act: () -> Response): Response {
        running.incrementAndGet()
        try {
            delayBy(workMillis)
            return act()
        } finally {
            running.decrementAndGet()
        }
    }

    private fun record(request: Request): Response {
        if (takeClosedBefore()) throw DropConnection()
        if (takeErrorBefore()) return failed()
        val record =
            PlainRecord(lastId.incrementAndGet(), request.path("collection").orEmpty(), key(request), body(request))
        made += record
        delayBy(faults.current.answerDelayMillis)
        return answerOf(record)
    }

    private fun answerOf(record: PlainRecord): Response {
        if (takeErrorAfter()) return failed()
        val silent = takeSilentAfter()
        if (silent) blockWhile { !stopped }
        if (silent || takeClosedAfter() || faults.current.dead) throw DropConnection()
        return answer(CreatedBody(record.id), Status.CREATED)
    }

    private fun find(request: Request): Response {
        val id = request.path("id").orEmpty().toLongOrNull()
        val found = made.firstOrNull { it.id == id && it.collection == request.path("collection") }
        delayBy(faults.current.answerDelayMillis)
        return found?.let { answer(it) } ?: refuse(Status.NOT_FOUND, "not-found", "no such record")
    }

    private fun status(name: String): Response {
        delayBy(faults.current.answerDelayMillis)
        return answer(StatusBody(name, "ok"))
    }

    private fun key(request: Request) = request.header("idempotency-key")

    private fun body(request: Request) = request.bodyString()

    private fun failed() = refuse(Status.INTERNAL_SERVER_ERROR, "failed", "the service failed")

    private fun takeClosedBefore() =
        faults.take({ it.closedBeforeRecord > 0 }, { it.copy(closedBeforeRecord = it.closedBeforeRecord - 1) })

    private fun takeErrorBefore() =
        faults.take({ it.errorsBeforeRecord > 0 }, { it.copy(errorsBeforeRecord = it.errorsBeforeRecord - 1) })

    private fun takeClosedAfter() =
        faults.take({ it.closedAfterRecord > 0 }, { it.copy(closedAfterRecord = it.closedAfterRecord - 1) })

    private fun takeErrorAfter() =
        faults.take({ it.errorsAfterRecord > 0 }, { it.copy(errorsAfterRecord = it.errorsAfterRecord - 1) })

    private fun takeSilentAfter() =
        faults.take({ it.silentAfterRecord > 0 }, { it.copy(silentAfterRecord = it.silentAfterRecord - 1) })
}
