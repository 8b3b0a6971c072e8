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
import io.mimosatrail.gateway.log.logFailure
import io.mimosatrail.gateway.wire.RequestFields
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Routes each request by the current configuration, then forwards or refuses it. [isStateLoaded] is true once the first
 * configuration and the upstreams have been read. [isOutdated] is true for the version of a configuration if another
 * entry has a newer one: what it does not allow may be allowed then, so it is no reason to deny a request. Confined to
 * the event loop.
 */
internal class RequestRouter(
    private val context: ForwardContext,
    private val configuration: () -> FrontConfiguration?,
    private val isStateLoaded: () -> Boolean,
    private val isOutdated: (Long) -> Boolean,
    private val isStopping: () -> Boolean,
    private val random: Random = Random.Default,
) {
    /** Requests that were received before the state was loaded, oldest first. */
    private val waiting = ArrayDeque<Caller>()

    /** Serves one request. Before the state is loaded, the request waits up to [MAX_STARTUP_WAIT]. */
    fun serve(caller: Caller) {
        if (isStateLoaded() || isStopping()) return answer(caller)
        caller.onDisconnected = { waiting.remove(caller) }
        waiting.addLast(caller)
    }

    /** Serves waiting requests once the state is loaded, they have waited long enough or the entry refuses requests. */
    fun tick(now: Moment) {
        while (waiting.isNotEmpty() && !mayWait(waiting.first(), now)) answer(waiting.removeFirst())
    }

    private fun mayWait(caller: Caller, now: Moment): Boolean =
        !isStateLoaded() && !isStopping() && now - caller.receivedAt <= MAX_STARTUP_WAIT

    /** Routes [caller]. If that fails for an unforeseen reason, the caller is told; the request may have been sent. */
    private fun answer(caller: Caller) = try {
        route(caller)
    } catch (e: RuntimeException) {
        logFailure("route", e)
        val fault = faultRefusal()
        caller.respond(statusOf(fault), headersOf(fault), bodyOf(fault))
    }

    private fun route(caller: Caller) {
        val fields = context.headers.readRequest(caller.request.headers())
        val current = configuration()
        if (current == null) return refuse(caller, fields, notReady("no configuration has been read yet"))
        if (isStopping()) return refuse(caller, fields, notReady("this entry is stopping"))
        when (val decision = current.decide(host(caller), path(caller), fields.apiKey)) {
            RouteDecision.NoRoute -> deny(caller, fields, RefusalReason.NOT_FOUND, "no route matches", current)
            RouteDecision.UnknownKey ->
                deny(caller, fields, RefusalReason.UNAUTHENTICATED, "the key is not known", current)
            is RouteDecision.Routed -> forward(caller, fields, decision, current)
        }
    }

    private fun deny(
        caller: Caller,
        fields: RequestFields,
        reason: RefusalReason,
        detail: String,
        current: FrontConfiguration,
    ) {
        val refusal = if (isOutdated(current.version)) {
            notReady("$detail, but another entry has a newer configuration")
        } else {
            Refusal(Outcome.NOT_RUN, reason, Step.ROUTE, null, detail)
        }
        refuse(caller, fields, refusal, current)
    }

    private fun forward(
        caller: Caller,
        fields: RequestFields,
        decision: RouteDecision.Routed,
        current: FrontConfiguration,
    ) {
        val id = decision.route.service(random.nextDouble())
        val service = current.services[id]
        if (service == null) return refuse(caller, fields, notReady("service $id is not configured"), current)
        val ranks = current.ranks(id)
        val call = RoutedCall(caller, fields, decision.route, decision.workspace, service, current.version, ranks)
        val targets = service.engine?.let { PathTargetChooser(call, it, context) } ?: PlainTargetChooser(call, context)
        ForwardedRequest(call, targets, context).start()
    }

    private fun refuse(caller: Caller, fields: RequestFields, refusal: Refusal, current: FrontConfiguration? = null) {
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
        context.meters.onResponse("REFUSED", statusOf(refusal).code())
        caller.respond(statusOf(refusal), headersOf(refusal), bodyOf(refusal))
    }

    /** The `Host` header without its port, in lower case; empty if absent. */
    private fun host(caller: Caller): String =
        caller.request.headers()[HttpHeaderNames.HOST].orEmpty().substringBeforeLast(':').lowercase()

    private fun path(caller: Caller): String = caller.request.uri().substringBefore('?')

    private fun notReady(detail: String) = Refusal(
        Outcome.NOT_RUN,
        RefusalReason.NOT_READY,
        Step.ROUTE,
        null,
        detail,
        RETRY_AFTER_NOT_READY.inWholeMilliseconds,
    )

    private companion object {
        /** An entry reads its configuration and the upstreams within a few hundred milliseconds of its start. */
        val MAX_STARTUP_WAIT = 700.milliseconds

        /** Another entry can take the request at once; the pause spreads callers that retry at the same time. */
        val RETRY_AFTER_NOT_READY = 100.milliseconds
    }
}
