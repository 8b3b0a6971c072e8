package io.mimosatrail.gateway.forward

import io.mimosatrail.core.front.FrontConfiguration
import io.mimosatrail.core.front.RouteDecision
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.front.Caller
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.wire.CallFields
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Looks each request up in the configuration and forwards or refuses it. */
internal class RequestRouter(
    private val context: ForwardContext,
    private val configuration: () -> FrontConfiguration?,
    private val isKnown: () -> Boolean,
    private val isStopping: () -> Boolean,
    private val random: Random = Random.Default,
) {
    private val early = ArrayDeque<Caller>()

    /** Serves one request. One that comes before the first configuration waits for it a short while. */
    fun serve(caller: Caller) {
        if (isKnown() || isStopping()) return route(caller)
        caller.onGone = { early.remove(caller) }
        early.addLast(caller)
    }

    /** Serves the requests that came before the first configuration, once it is there or they waited long enough. */
    fun tick(now: Moment) {
        while (early.isNotEmpty() && (isKnown() || now - early.first().receivedAt > LONGEST_WAIT)) {
            route(early.removeFirst())
        }
    }

    private fun route(caller: Caller) {
        val fields = context.headers.readCall(caller.request.headers())
        val current = configuration()
        if (current == null) return refuse(caller, fields, notReady("no configuration has been read yet"))
        if (isStopping()) return refuse(caller, fields, notReady("this entry is stopping"))
        when (val decision = current.decide(host(caller), path(caller), fields.key)) {
            RouteDecision.NoRoute -> refuse(
                caller,
                fields,
                denied(RefusalReason.NOT_FOUND, "no route matches"),
                current,
            )
            RouteDecision.UnknownKey ->
                refuse(caller, fields, denied(RefusalReason.UNAUTHENTICATED, "the key is not known"), current)
            is RouteDecision.Routed -> forward(caller, fields, decision, current)
        }
    }

    private fun forward(
        caller: Caller,
        fields: CallFields,
        decision: RouteDecision.Routed,
        current: FrontConfiguration,
    ) {
        val id = decision.route.service(random.nextDouble())
        val service = current.services[id]
        if (service == null) return refuse(caller, fields, notReady("service $id is not configured"), current)
        val call = RoutedCall(caller, fields, decision.route, decision.workspace, service, current.version)
        val targets = service.engine?.let { PathTargets(call, it, context) } ?: PlainTargets(call, context)
        Forward(call, targets, context).start()
    }

    private fun refuse(caller: Caller, fields: CallFields, refusal: Refusal, current: FrontConfiguration? = null) {
        logEvent(
            "router",
            "refused",
            "request" to fields.request,
            "host" to host(caller),
            "path" to path(caller),
            "status" to statusOf(refusal).code(),
            "reason" to refusal.reason,
            "detail" to refusal.detail,
            "configuration" to current?.version,
        )
        context.meters.onAnswer("REFUSED", statusOf(refusal).code())
        caller.answer(statusOf(refusal), headersOf(refusal), bodyOf(refusal))
    }

    private fun host(caller: Caller): String =
        caller.request.headers()[HttpHeaderNames.HOST].orEmpty().substringBeforeLast(':').lowercase()

    private fun path(caller: Caller): String = caller.request.uri().substringBefore('?')

    private fun denied(reason: RefusalReason, detail: String) =
        Refusal(Outcome.NOT_RUN, reason, Step.ROUTE, null, detail)

    private fun notReady(detail: String) = Refusal(
        Outcome.NOT_RUN,
        RefusalReason.NOT_READY,
        Step.ROUTE,
        null,
        detail,
        RETRY_AFTER_NOT_READY.inWholeMilliseconds,
    )

    private companion object {
        /** An entry reads configuration and registry within some hundred milliseconds of its start. */
        val LONGEST_WAIT = 700.milliseconds

        /** Another entry can take the request at once; the pause spreads callers that come back together. */
        val RETRY_AFTER_NOT_READY = 100.milliseconds
    }
}
