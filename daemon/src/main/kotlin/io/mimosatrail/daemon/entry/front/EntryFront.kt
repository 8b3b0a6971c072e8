package io.mimosatrail.daemon.entry.front

import io.github.oshai.kotlinlogging.KotlinLogging
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.config.ModelPool
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.daemon.entry.front.InFlightRequests.Acquisition
import io.mimosatrail.daemon.host.Drainable
import io.mimosatrail.daemon.http.RequestIdGenerator
import io.mimosatrail.daemon.http.httpJson
import io.mimosatrail.daemon.http.notRun
import io.mimosatrail.daemon.http.toResponse
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RouterMatch
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes
import java.util.concurrent.atomic.AtomicBoolean

private val log = KotlinLogging.logger("front")
private const val RETRY_MILLIS = 1_000L

/** The callers' HTTP interface of an entry: routes requests to [models] and [services] and counts those in flight. */
internal class EntryFront(
    private val self: InstanceId,
    private val models: ModelFront,
    private val services: ServiceFront,
    private val configuration: () -> Configuration,
    private val inFlight: InFlightRequests,
) : Drainable {
    private val requestIds = RequestIdGenerator(self)

    val handler: HttpHandler = { request -> route(request) }

    private val serviceRoutes: List<RoutingHttpHandler> =
        listOf(Method.GET, Method.POST, Method.PUT, Method.PATCH, Method.DELETE).map { method ->
            "/services/{service}/{path:.*}" bind method to { request: Request ->
                trackInFlight { id, onEnd -> services.handle(id, request).also { onEnd() } }
            }
        }

    private val routes = routes(
        "/v1/completions" bind Method.POST to { request: Request ->
            trackInFlight { id, onEnd -> models.handle(id, request, ::parseCompletion, onEnd) }
        },
        "/v1/chat/completions" bind Method.POST to { request: Request ->
            trackInFlight { id, onEnd -> models.handle(id, request, ::parseChat, onEnd) }
        },
        "/v1/models" bind Method.GET to { listModels() },
        *serviceRoutes.toTypedArray(),
    )

    override fun startDraining() = inFlight.startDraining()

    override suspend fun awaitDrained() = inFlight.awaitIdle()

    private fun route(request: Request): Response {
        // A 404 in a response may be the answer of an upstream, so only the router itself shows that no path matches.
        if (routes.match(request) !is RouterMatch.Unmatched) return routes(request)
        return notRun(
            RefusalReason.NOT_FOUND,
            Step.PARSE,
            "no such path: ${request.uri.path}",
        ).toResponse(requestIds.next())
    }

    /** Runs [handle] if another request may start. [handle] calls its second argument when the request has ended. */
    private fun trackInFlight(handle: (RequestId, () -> Unit) -> Response): Response {
        val id = requestIds.next()
        when (inFlight.tryAcquire()) {
            Acquisition.DRAINING -> return refusal(RefusalReason.DRAINING, "this entry is stopping").toResponse(id)
            Acquisition.FULL -> return refusal(RefusalReason.BUSY, "this entry is full").toResponse(id)
            Acquisition.ACQUIRED -> Unit
        }
        val onEnd = once(inFlight::release)
        return try {
            handle(id, onEnd)
        } catch (e: Exception) {
            onEnd()
            log.error(e) { "front: request $id failed: ${e.message}" }
            val detail = "the entry failed while handling the request"
            Refusal(Outcome.UNKNOWN, RefusalReason.INVARIANT, Step.ROUTE, self, detail).toResponse(id)
        }
    }

    private fun refusal(reason: RefusalReason, detail: String) = notRun(reason, Step.ADMIT, detail, RETRY_MILLIS)

    private fun listModels(): Response {
        val pools = configuration().services.values.filterIsInstance<ModelPool>()
        val models = pools.map { it.model.value }.distinct().sorted().map(::ModelEntry)
        return Response(Status.OK).header("Content-Type", "application/json")
            .body(httpJson.encodeToString(ModelList.serializer(), ModelList(models)))
    }
}

/** A function that runs [action] on its first call only. */
private fun once(action: () -> Unit): () -> Unit {
    val hasRun = AtomicBoolean()
    return { if (hasRun.compareAndSet(false, true)) action() }
}
