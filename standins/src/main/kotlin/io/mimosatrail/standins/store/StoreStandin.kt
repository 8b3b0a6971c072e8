package io.mimosatrail.standins.store

import io.mimosatrail.standins.DropConnection
import io.mimosatrail.standins.Standin
import io.mimosatrail.standins.StandinServer
import io.mimosatrail.standins.answer
import io.mimosatrail.standins.faults.FaultSwitch
import io.mimosatrail.standins.faults.delayBy
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
import java.util.Base64
import java.util.concurrent.atomic.AtomicLongArray

/** Largest value, in bytes. */
private const val MAX_VALUE_BYTES = 1_048_576
private const val DEFAULT_LIMIT = 1_000
private const val MAX_LIMIT = 1_000

/** Changes that the store keeps for watches. */
private const val DEFAULT_WINDOW = 10_000

/** Longest wait of a watch, in milliseconds. */
private const val MAX_WAIT_MILLIS = 60_000L

/** Stand-in of the key-value store, with the faults of [StoreFaults]; keeps its values in memory. */
class StoreStandin(port: Int = 0, window: Int = DEFAULT_WINDOW) : Standin {
    /** Faults in force. */
    val faults = FaultSwitch(StoreFaults(), StoreFaults.serializer())

    private val table = StoreTable(window)
    private val counts = AtomicLongArray(StoreCallKind.entries.size)
    private val server = StandinServer(port, handler())

    override val url: String get() = server.url

    fun start(): StoreStandin {
        server.start()
        return this
    }

    override fun stop() = server.stop()

    /** Calls taken since the start, refused ones included. */
    fun stats(): StoreStats = StoreStats(StoreCallKind.entries.associateWith { counts.get(it.ordinal) })

    private fun handler(): HttpHandler = routes(
        faults.routes(),
        "/v1/stats" bind Method.GET to { answer(stats()) },
        "/v1/kv" bind Method.GET to ::read,
        "/v1/kv" bind Method.PUT to { call(StoreCallKind.PUT, it.key()) { put(it) } },
        "/v1/kv" bind Method.DELETE to { call(StoreCallKind.DELETE, it.key()) { delete(it) } },
        "/v1/watch" bind Method.GET to { call(StoreCallKind.WATCH, "") { watch(it) } },
        "/v1/leases" bind Method.POST to { call(StoreCallKind.LEASE, "") { grant(it) } },
        "/v1/leases/{id}" bind Method.POST to { call(StoreCallKind.RENEW, "") { renew(it.lease()) } },
        "/v1/leases/{id}" bind Method.DELETE to {
            call(StoreCallKind.END_LEASE, "") { answer(RevisionBody(table.end(it.lease()))) }
        },
    )

    private fun call(kind: StoreCallKind, key: String, act: () -> Response): Response {
        counts.incrementAndGet(kind.ordinal)
        delayBy(faults.current.delayMillis)
        if (faults.current.outage) return unavailable()
        if (kind.isWrite && takeTimeoutBeforeEffect(key)) return lost()
        val response = act()
        return if (kind.isWrite) mayLose(key, response) else response
    }

    private fun mayLose(key: String, response: Response): Response {
        if (takeTimeoutAfterEffect(key)) return lost()
        if (takeClosedAfterEffect(key)) throw DropConnection()
        return response
    }

    private fun takeTimeoutBeforeEffect(key: String) = faults.take(
        { it.timeoutsBeforeEffect > 0 && key.startsWith(it.prefix) },
        { it.copy(timeoutsBeforeEffect = it.timeoutsBeforeEffect - 1) },
    )

    private fun takeTimeoutAfterEffect(key: String) = faults.take(
        { it.timeoutsAfterEffect > 0 && key.startsWith(it.prefix) },
        { it.copy(timeoutsAfterEffect = it.timeoutsAfterEffect - 1) },
    )

    private fun takeClosedAfterEffect(key: String) = faults.take(
        { it.closedAfterEffect > 0 && key.startsWith(it.prefix) },
        { it.copy(closedAfterEffect = it.closedAfterEffect - 1) },
    )

    private fun read(request: Request): Response {
        val key = request.query("key")
        return if (key == null) {
            call(StoreCallKind.LIST, "") { list(request) }
        } else {
            call(StoreCallKind.GET, key) { answer(GetBody(table.get(key)?.body())) }
        }
    }

    private fun list(request: Request): Response {
        val limit = (request.query("limit")?.toInt() ?: DEFAULT_LIMIT).coerceIn(1, MAX_LIMIT)
        val found = table.list(request.query("prefix").orEmpty(), request.query("after").orEmpty(), limit)
        return answer(ListBody(found.take(limit).map { it.body() }, found.size > limit))
    }

    private fun put(request: Request): Response {
        val body = request.read<PutBody>()
        val size = Base64.getDecoder().decode(body.value).size
        if (size > MAX_VALUE_BYTES) {
            return refuse(Status.REQUEST_ENTITY_TOO_LARGE, "too-large", "$size bytes are over $MAX_VALUE_BYTES")
        }
        return table.put(request.key(), body.value, body.expected, body.lease).answered()
    }

    private fun delete(request: Request): Response =
        table.delete(request.key(), request.query("expected")?.toLong()).answered()

    private fun watch(request: Request): Response {
        val wait = (request.query("wait")?.toLong() ?: 0).coerceIn(0, MAX_WAIT_MILLIS)
        val after = request.query("after")?.toLong() ?: 0
        val found = table.watch(request.query("prefix").orEmpty(), after, wait) { faults.current.outage }
        if (faults.current.outage) return unavailable()
        return answer(WatchBody(found.changes.map { it.body() }, found.revision, found.compacted))
    }

    private fun grant(request: Request): Response {
        val ttl = request.read<LeaseRequestBody>().ttl
        return answer(LeaseBody(table.grant(ttl), ttl))
    }

    private fun renew(lease: Long): Response =
        table.renew(lease)?.let { answer(LeaseBody(lease, it)) } ?: leaseEnded("lease $lease has ended")

    private fun WriteResult.answered(): Response = when (this) {
        is WriteResult.Written -> answer(RevisionBody(revision))
        is WriteResult.Conflict -> answer(ConflictBody("conflict", current?.body()), Status.CONFLICT)
        WriteResult.LeaseEnded -> leaseEnded("the lease has ended")
    }

    private fun leaseEnded(detail: String) = refuse(Status.GONE, "lease-ended", detail)

    private fun unavailable() = refuse(Status.SERVICE_UNAVAILABLE, "unavailable", "the store is down")

    private fun lost() = refuse(Status.GATEWAY_TIMEOUT, "timeout", "no answer in time")

    private fun Request.key() = query("key").orEmpty()

    private fun Request.lease() = path("id").orEmpty().toLongOrNull() ?: 0
}

private fun Entry.body() = EntryBody(key, value, revision, createRevision)

private fun Change.body() = ChangeBody(key, entry?.body(), revision)
