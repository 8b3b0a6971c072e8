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
import io.mimosatrail.daemon.host.Drainable
import io.mimosatrail.daemon.http.RequestIds
import io.mimosatrail.daemon.http.httpJson
import io.mimosatrail.daemon.http.notRun
import io.mimosatrail.daemon.http.toResponse
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes
import java.util.concurrent.atomic.AtomicBoolean

private val log = KotlinLogging.logger("front")
private const val RETRY_MILLIS = 1_000L

/** The callers' interface of an entry, with the routes of all its parts. */
internal class EntryFront(
    private val self: InstanceId,
    private val models: ModelFront,
    private val services: ServiceFront,
    private val configuration: () -> Configuration,
    private val inFlight: InFlight,
) : Drainable {
    private val ids = RequestIds(self)

    val handler: HttpHandler = { request -> routed(request) }

    private val serviceRoutes: List<RoutingHttpHandler> =
        listOf(Method.GET, Method.POST, Method.PUT, Method.PATCH, Method.DELETE).map { method ->
            "/services/{service}/{path:.*}" bind method to { request: Request ->
                counted { id, done -> services.handle(id, request).also { done() } }
            }
        }

    private val routes = routes(
        "/v1/completions" bind Method.POST to { request: Request ->
            counted { id, done -> models.handle(id, request, ::parseCompletion, done) }
        },
        "/v1/chat/completions" bind Method.POST to { request: Request ->
            counted { id, done -> models.handle(id, request, ::parseChat, done) }
        },
        "/v1/models" bind Method.GET to { listModels() },
        *serviceRoutes.toTypedArray(),
    )

    override fun startDraining() = inFlight.startDraining()

    override suspend fun awaitDrained() = inFlight.awaitIdle()

    private fun routed(request: Request): Response {
        val response = routes(request)
        val unmatched = response.status == Status.NOT_FOUND && response.header("Content-Type") == null
        if (!unmatched) return response
        return notRun(RefusalReason.NOT_FOUND, Step.PARSE, "no such path: ${request.uri.path}").toResponse(ids.next())
    }

    private fun counted(handle: (RequestId, () -> Unit) -> Response): Response {
        val id = ids.next()
        when (inFlight.enter()) {
            InFlight.Entry.DRAINING -> return refusal(RefusalReason.DRAINING, "this entry is stopping").toResponse(id)
            InFlight.Entry.FULL -> return refusal(RefusalReason.BUSY, "this entry is full").toResponse(id)
            InFlight.Entry.ENTERED -> Unit
        }
        val done = once(inFlight::leave)
        return try {
            handle(id, done)
        } catch (e: Exception) {
            done()
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

private fun once(action: () -> Unit): () -> Unit {
    val ran = AtomicBoolean()
    return { if (ran.compareAndSet(false, true)) action() }
}
