package io.mimosatrail.daemon.entry.front

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.getOrElse
import io.mimosatrail.core.config.ModelPool
import io.mimosatrail.core.config.RoutingRule
import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.daemon.entry.stream.ModelRequest
import io.mimosatrail.daemon.entry.stream.StreamEvent
import io.mimosatrail.daemon.entry.stream.StreamOpener
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.daemon.http.REQUEST_ID_HEADER
import io.mimosatrail.daemon.http.notRun
import io.mimosatrail.daemon.http.readBody
import io.mimosatrail.daemon.http.toResponse
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import kotlin.time.Duration.Companion.minutes

private val defaultTimeout = 10.minutes

/** Parses the body of one of the two completion interfaces. */
internal typealias QueryParser = (ByteArray, Tokenizer) -> Result<ModelQuery, Refusal>

/** The OpenAI-compatible interface: answers model requests with one JSON document or with server-sent events. */
internal class ModelFront(
    private val host: Host,
    private val gate: EntryGate,
    private val open: StreamOpener,
    private val meters: FrontMeters,
    private val maxBodyBytes: Int,
    private val tokenizer: Tokenizer = ByteTokenizer,
) {
    /** Handles one request. Calls [onEnd] at the end of the response, for a stream after this function has returned. */
    fun handle(id: RequestId, request: Request, parse: QueryParser, onEnd: () -> Unit): Response {
        val accepted = accept(id, request, parse).getOrElse {
            onEnd()
            meters.onRefused(null, it)
            return it.toResponse(id)
        }
        return respond(accepted, onEnd)
    }

    private fun accept(id: RequestId, request: Request, parse: QueryParser): Result<AcceptedRequest, Refusal> =
        binding {
            val workspace = gate.authenticate(request).bind()
            val body = request.readBody(maxBodyBytes).bind()
            val query = parse(body, tokenizer).bind()
            val timeout = request.timeout(defaultTimeout).bind()
            val target = findTarget(workspace, query).bind()
            val maxTokens = minOf(query.maxTokens, target.pool.maxTokens)
            gate.admit(workspace, query.prompt.size + maxTokens).bind()
            val deadline = host.clock() + timeout
            val priority = target.rule.priority
            AcceptedRequest(
                query,
                ModelRequest(id, workspace.id, target.pool, query.prompt, maxTokens, priority, deadline),
            )
        }

    private fun findTarget(workspace: Workspace, query: ModelQuery): Result<PoolTarget, Refusal> {
        val configuration = host.configuration()
        val rule = configuration.ruleFor(workspace.id, query.model)
            ?: return Err(notRun(RefusalReason.NOT_FOUND, Step.ROUTE, "no rule for model ${query.model}"))
        val pool = configuration.services[rule.service] as? ModelPool
            ?: return Err(notRun(RefusalReason.NOT_FOUND, Step.ROUTE, "rule ${rule.id} names no model pool"))
        return Ok(PoolTarget(rule, pool))
    }

    private fun respond(accepted: AcceptedRequest, onEnd: () -> Unit): Response {
        val responder = Responder(CompletionFormatter(accepted.request.id, accepted.query), onEnd)
        val request = accepted.request
        val events = meters.measure(request.pool.id, open(request)).buffer(request.maxTokens + 1).produceIn(host.scope)
        val first = runBlocking { events.receiveCatching().getOrNull() } ?: StreamEvent.Failed(endedWithoutResult())
        return when {
            first is StreamEvent.Failed -> responder.refuse(accepted.request.id, first.refusal)
            accepted.query.stream -> responder.stream(accepted, first, events)
            else -> responder.complete(accepted, first, events)
        }
    }

    private inner class Responder(private val formatter: CompletionFormatter, private val onEnd: () -> Unit) {
        fun refuse(id: RequestId, refusal: Refusal): Response {
            onEnd()
            return refusal.toResponse(id)
        }

        fun complete(accepted: AcceptedRequest, first: StreamEvent, events: ReceiveChannel<StreamEvent>): Response {
            val text = StringBuilder()
            var tokens = 0
            var event: StreamEvent? = first
            while (event is StreamEvent.Token) {
                text.append(tokenizer.decode(event.token))
                tokens++
                event = runBlocking { events.receiveCatching().getOrNull() }
            }
            onEnd()
            return when (event) {
                is StreamEvent.Finished ->
                    ok(
                        accepted.request.id,
                        "application/json",
                    ).body(formatter.completion(text.toString(), tokens, event.reason))

                is StreamEvent.Failed -> event.refusal.toResponse(accepted.request.id)
                else -> endedWithoutResult().toResponse(accepted.request.id)
            }
        }

        fun stream(accepted: AcceptedRequest, first: StreamEvent, events: ReceiveChannel<StreamEvent>): Response {
            val body = ChunkStream(onClose = {
                events.cancel()
                onEnd()
            })
            body.write(render(first))
            host.scope.launch {
                var last = first
                for (event in events) {
                    body.write(render(event))
                    last = event
                }
                if (last is StreamEvent.Token) body.write(formatter.failure(endedWithoutResult()))
                body.end()
            }
            return ok(accepted.request.id, "text/event-stream").header("Cache-Control", "no-store").body(body)
        }

        private fun render(event: StreamEvent): String = when (event) {
            is StreamEvent.Token -> formatter.chunk(tokenizer.decode(event.token))
            is StreamEvent.Finished -> formatter.finish(event.reason)
            is StreamEvent.Failed -> formatter.failure(event.refusal)
        }

        private fun ok(id: RequestId, type: String) =
            Response(Status.OK).header("Content-Type", type).header(REQUEST_ID_HEADER, id.value)
    }

    private fun endedWithoutResult() = Refusal(
        Outcome.UNKNOWN,
        RefusalReason.PEER_LOST,
        Step.ANSWER,
        host.self.id,
        "the stream ended without a result",
    )

    private class AcceptedRequest(val query: ModelQuery, val request: ModelRequest)

    private class PoolTarget(val rule: RoutingRule, val pool: ModelPool)
}
