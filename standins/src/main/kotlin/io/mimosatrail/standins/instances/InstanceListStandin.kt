package io.mimosatrail.standins.instances

import io.mimosatrail.standins.Standin
import io.mimosatrail.standins.StandinServer
import io.mimosatrail.standins.decodeBody
import io.mimosatrail.standins.errorResponse
import io.mimosatrail.standins.faults.FaultSwitch
import io.mimosatrail.standins.jsonResponse
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes

private const val NANOS_PER_MILLI = 1_000_000L

/** Stand-in of the instance list. Its initial fault setting is a lag of [lagMillis]. */
class InstanceListStandin(port: Int = 0, lagMillis: Long = 0) : Standin {
    /** The active faults. */
    val faults = FaultSwitch(InstanceListFaults(lagMillis = lagMillis), InstanceListFaults.serializer())

    private val history = ArrayList<Change>()
    private var frozenRows: List<InstanceRow>? = null
    private val server = StandinServer(port, handler())

    override val url: String get() = server.url

    fun start(): InstanceListStandin {
        server.start()
        return this
    }

    override fun stop() = server.stop()

    /** Adds or replaces a row. */
    @Synchronized
    fun put(row: InstanceRow) {
        captureFrozenRows()
        history += Change(System.nanoTime(), row.id, row)
    }

    /** Removes the row with [id]. */
    @Synchronized
    fun remove(id: String) {
        captureFrozenRows()
        history += Change(System.nanoTime(), id, null)
    }

    /** The rows that the list shows now, with its lag and freeze applied. */
    @Synchronized
    fun visibleRows(): List<InstanceRow> {
        val visible = frozenRows ?: rowsAt(System.nanoTime() - faults.current.lagMillis * NANOS_PER_MILLI)
        frozenRows = visible.takeIf { faults.current.frozen }
        return visible
    }

    /** Captures the visible rows before a change, in case the list was frozen and not read since. */
    private fun captureFrozenRows() {
        if (faults.current.frozen) visibleRows()
    }

    private fun rowsAt(nanos: Long): List<InstanceRow> {
        val rows = LinkedHashMap<String, InstanceRow?>()
        history.filter { it.nanos <= nanos }.forEach { rows[it.id] = it.row }
        return rows.values.filterNotNull()
    }

    private fun handler(): HttpHandler = routes(
        faults.routes(),
        "/v1/instances" bind Method.GET to ::list,
        "/v1/instances/{id}" bind Method.PUT to { request ->
            put(request.decodeBody<InstanceRow>())
            Response(Status.NO_CONTENT)
        },
        "/v1/instances/{id}" bind Method.DELETE to { request ->
            remove(request.path("id").orEmpty())
            Response(Status.NO_CONTENT)
        },
    )

    private fun list(request: Request): Response {
        if (faults.current.outage) {
            return errorResponse(Status.SERVICE_UNAVAILABLE, "unavailable", "the instance list is down")
        }
        val rows = visibleRows()
        val tag = "\"${rows.hashCode()}\""
        if (request.header("If-None-Match") == tag) return Response(Status.NOT_MODIFIED).header("ETag", tag)
        return jsonResponse(InstancesBody(rows)).header("ETag", tag)
    }

    private class Change(val nanos: Long, val id: String, val row: InstanceRow?)
}
