package io.mimosatrail.standins.store

import io.mimosatrail.standins.DropConnection
import io.mimosatrail.standins.Standin
import io.mimosatrail.standins.StandinServer
import io.mimosatrail.standins.decodeBody
import io.mimosatrail.standins.errorResponse
import io.mimosatrail.standins.faults.FaultSwitch
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
import java.util.Base64
import java.util.concurrent.atomic.AtomicLongArray

private const val MAX_VALUE_BYTES = 1_048_576
private const val DEFAULT_LIMIT = 1_000
private const val MAX_LIMIT = 1_000

/** Number of changes that a watch can still read. */
private const val DEFAULT_RETAINED_CHANGES = 10_000

private const val MAX_WATCH_WAIT_MILLIS = 60_000L

/** In-memory stand-in of the key-value store. Watches can read the last [retainedChanges] changes. */
class StoreStandin(port: Int = 0, retainedChanges: Int = DEFAULT_RETAINED_CHANGES) : Standin {
    /** The active faults. */
    val faults = FaultSwitch(StoreFaults(), StoreFaults.serializer())

    private val table = StoreTable(retainedChanges)
    private val callCounts = AtomicLongArray(StoreCallKind.entries.size)
    private val server = StandinServer(port, handler())

    override val url: String get() = server.url

    fun start(): StoreStandin {
        server.start()
        return this
    }

    override fun stop() = server.stop()

    /** Number of calls since the start, including those that failed. */
    fun stats(): StoreStats = StoreStats(StoreCallKind.entries.associateWith { callCounts.get(it.ordinal) })

    private fun handler(): HttpHandler = routes(
        faults.routes(),
        "/v1/stats" bind Method.GET to { jsonResponse(stats()) },
        "/v1/kv" bind Method.GET to ::getOrList,
        "/v1/kv" bind Method.PUT to { handle(StoreCallKind.PUT, it.key()) { put(it) } },
        "/v1/kv" bind Method.DELETE to { handle(StoreCallKind.DELETE, it.key()) { delete(it) } },
        "/v1/watch" bind Method.GET to { handle(StoreCallKind.WATCH, "") { watch(it) } },
        "/v1/leases" bind Method.POST to { handle(StoreCallKind.LEASE, "") { grant(it) } },
        "/v1/leases/{id}" bind Method.POST to { handle(StoreCallKind.RENEW, "") { renew(it.lease()) } },
        "/v1/leases/{id}" bind Method.DELETE to {
            handle(StoreCallKind.END_LEASE, "") { jsonResponse(RevisionBody(table.endLease(it.lease()))) }
        },
    )

    /** Counts a call and runs [action] with the active faults applied. [key] is empty for calls without a key. */
    private fun handle(kind: StoreCallKind, key: String, action: () -> Response): Response {
        callCounts.incrementAndGet(kind.ordinal)
        delayBy(faults.current.delayMillis)
        if (faults.current.outage) return unavailable()
        if (kind.isWrite && consumeTimeoutBeforeEffect(key)) return timedOut()
        val response = action()
        return if (kind.isWrite) applyFaultsAfterEffect(key, response) else response
    }

    private fun applyFaultsAfterEffect(key: String, response: Response): Response {
        if (consumeTimeoutAfterEffect(key)) return timedOut()
        if (consumeClosedAfterEffect(key)) throw DropConnection()
        return response
    }

    private fun consumeTimeoutBeforeEffect(key: String) = faults.consume(
        { it.timeoutsBeforeEffect > 0 && key.startsWith(it.prefix) },
        { it.copy(timeoutsBeforeEffect = it.timeoutsBeforeEffect - 1) },
    )

    private fun consumeTimeoutAfterEffect(key: String) = faults.consume(
        { it.timeoutsAfterEffect > 0 && key.startsWith(it.prefix) },
        { it.copy(timeoutsAfterEffect = it.timeoutsAfterEffect - 1) },
    )

    private fun consumeClosedAfterEffect(key: String) = faults.consume(
        { it.closedAfterEffect > 0 && key.startsWith(it.prefix) },
        { it.copy(closedAfterEffect = it.closedAfterEffect - 1) },
    )

    private fun getOrList(request: Request): Response {
        val key = request.query("key")
        return if (key == null) {
            handle(StoreCallKind.LIST, "") { list(request) }
        } else {
            handle(StoreCallKind.GET, key) { jsonResponse(GetBody(table.get(key)?.toBody())) }
        }
    }

    private fun list(request: Request): Response {
        val limit = (request.query("limit")?.toInt() ?: DEFAULT_LIMIT).coerceIn(1, MAX_LIMIT)
        val found = table.list(request.query("prefix").orEmpty(), request.query("after").orEmpty(), limit)
        return jsonResponse(ListBody(found.take(limit).map { it.toBody() }, found.size > limit))
    }

    private fun put(request: Request): Response {
        val body = request.decodeBody<PutBody>()
        val size = Base64.getDecoder().decode(body.value).size
        if (size > MAX_VALUE_BYTES) {
            return errorResponse(Status.REQUEST_ENTITY_TOO_LARGE, "too-large", "$size bytes are over $MAX_VALUE_BYTES")
        }
        return table.put(request.key(), body.value, body.expected, body.lease).toResponse()
    }

    private fun delete(request: Request): Response =
        table.delete(request.key(), request.query("expected")?.toLong()).toResponse()

    private fun watch(request: Request): Response {
        val wait = (request.query("wait")?.toLong() ?: 0).coerceIn(0, MAX_WATCH_WAIT_MILLIS)
        val after = request.query("after")?.toLong() ?: 0
        val found = table.watch(request.query("prefix").orEmpty(), after, wait) { faults.current.outage }
        if (faults.current.outage) return unavailable()
        return jsonResponse(WatchBody(found.changes.map { it.toBody() }, found.revision, found.isCompacted))
    }

    private fun grant(request: Request): Response {
        val ttl = request.decodeBody<LeaseRequestBody>().ttl
        return jsonResponse(LeaseBody(table.grant(ttl), ttl))
    }

    private fun renew(lease: Long): Response =
        table.renew(lease)?.let { jsonResponse(LeaseBody(lease, it)) } ?: leaseEnded("lease $lease has ended")

    private fun WriteResult.toResponse(): Response = when (this) {
        is WriteResult.Written -> jsonResponse(RevisionBody(revision))
        is WriteResult.Conflict -> jsonResponse(ConflictBody("conflict", current?.toBody()), Status.CONFLICT)
        WriteResult.LeaseEnded -> leaseEnded("the lease has ended")
    }

    private fun leaseEnded(detail: String) = errorResponse(Status.GONE, "lease-ended", detail)

    private fun unavailable() = errorResponse(Status.SERVICE_UNAVAILABLE, "unavailable", "the store is down")

    private fun timedOut() = errorResponse(Status.GATEWAY_TIMEOUT, "timeout", "no answer in time")

    private fun Request.key() = query("key").orEmpty()

    private fun Request.lease() = path("id").orEmpty().toLongOrNull() ?: 0
}

private fun Entry.toBody() = EntryBody(key, value, revision, createRevision)

private fun Change.toBody() = ChangeBody(key, entry?.toBody(), revision)
