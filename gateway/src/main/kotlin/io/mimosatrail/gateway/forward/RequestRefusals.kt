package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.core.quarantine.Content
import io.mimosatrail.core.quarantine.ContentObstacle
import io.mimosatrail.core.send.SendEnd
import io.mimosatrail.core.send.SendHistory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The refusals of one request. Each states that the request has not run only if [history] shows that. */
internal class RequestRefusals(private val call: RoutedCall, private val history: SendHistory) {
    /**
     * [obstacle] keeps the content of the request from being sent. The caller of one that is in doubt may come back.
     */
    fun quarantined(obstacle: ContentObstacle): Refusal {
        val isInDoubt = obstacle !is ContentObstacle.Refused
        val retryAfter = if (isInDoubt && history.hasNotRun) RETRY_AFTER_DOUBT else null
        return refusal(outcome(), RefusalReason.QUARANTINED, Step.ROUTE, null, describe(obstacle), retryAfter)
    }

    private fun describe(obstacle: ContentObstacle): String = when (obstacle) {
        is ContentObstacle.Refused -> describe(obstacle)
        ContentObstacle.Suspected -> "upstreams crashed under this request or others like it"
        ContentObstacle.OnTrial -> "upstreams crashed under this request, which is sent once at a time"
    }

    private fun describe(refused: ContentObstacle.Refused): String {
        val parts = refused.pattern.contents.filterIsInstance<Content.Part>()
        val requests = if (parts.isEmpty()) "this request" else "requests with prompt part ${parts.joinToString()}"
        return "upstreams crashed under $requests, refused for another ${refused.remaining.inWholeSeconds} s"
    }

    /** No upstream can take the request; one may [retryAfter] from now. */
    fun noTarget(retryAfter: Duration = RETRY_AFTER_NO_CAPACITY) = refusal(
        outcome(),
        RefusalReason.NO_UPSTREAM,
        Step.ROUTE,
        null,
        "no upstream of ${call.service.id} has room",
        retryAfter,
    )

    /** The request could not be sent again, or every upstream refused it. */
    fun busy(detail: String) = refusal(outcome(), RefusalReason.BUSY, Step.SEND, null, detail, RETRY_AFTER_BUSY)

    /** The last send, to [upstream], ended as [end] and the request is not sent again. */
    fun failed(upstream: InstanceId, end: SendEnd, detail: String): Refusal = when {
        history.hasNotRun -> busy("$end at $upstream: $detail")
        end == SendEnd.SILENT -> refusal(Outcome.UNKNOWN, RefusalReason.DEADLINE, Step.ANSWER, upstream, detail)
        else -> refusal(Outcome.UNKNOWN, RefusalReason.UPSTREAM_ERROR, Step.ANSWER, upstream, detail)
    }

    /** The deadline has passed; [upstream] had not answered, null if no send was open. */
    fun deadline(upstream: InstanceId?): Refusal {
        val detail = "no answer within ${call.timeout}"
        if (history.hasNotRun) return busy(detail)
        return refusal(Outcome.UNKNOWN, RefusalReason.DEADLINE, Step.ANSWER, upstream, detail)
    }

    /** This entry stops before the request could end; another one can take it. */
    fun stopping() = refusal(
        outcome(),
        if (history.hasNotRun) RefusalReason.NOT_READY else RefusalReason.DEADLINE,
        Step.ROUTE,
        null,
        "this entry is stopping",
        RETRY_AFTER_STOP,
    )

    private fun outcome() = if (history.hasNotRun) Outcome.NOT_RUN else Outcome.UNKNOWN

    private fun refusal(
        outcome: Outcome,
        reason: RefusalReason,
        step: Step,
        upstream: InstanceId?,
        detail: String,
        retryAfter: Duration? = null,
    ) = Refusal(outcome, reason, step, upstream, detail, retryAfter?.inWholeMilliseconds)

    private companion object {
        /** Capacity is freed as streams end, a few per second at each engine. */
        val RETRY_AFTER_NO_CAPACITY = 700.milliseconds

        /** Time in which entries learn what others know of a content in doubt. */
        val RETRY_AFTER_DOUBT = 1_000.milliseconds

        /** Another entry can take the request at once; the pause spreads callers that retry at the same time. */
        val RETRY_AFTER_STOP = 100.milliseconds

        /** About the duration of one response; then a refusing upstream may accept again. */
        val RETRY_AFTER_BUSY = 400.milliseconds
    }
}
