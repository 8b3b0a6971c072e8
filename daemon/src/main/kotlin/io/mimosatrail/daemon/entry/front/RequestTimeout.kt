package io.mimosatrail.daemon.entry.front

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.daemon.http.notRun
import org.http4k.core.Request
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/** Request header in which callers give the timeout of a request in milliseconds. */
internal const val TIMEOUT_HEADER = "X-Request-Timeout-Ms"

private val maxTimeout = 1.hours

/** The timeout that the caller set in [TIMEOUT_HEADER], or [default] if there is none. At most one hour. */
internal fun Request.timeout(default: Duration): Result<Duration, Refusal> {
    val values = headerValues(TIMEOUT_HEADER).filterNotNull()
    if (values.isEmpty()) return Ok(default)
    val timeout = values.singleOrNull()?.toLongOrNull()?.milliseconds
    if (timeout != null && timeout.isPositive() && timeout <= maxTimeout) return Ok(timeout)
    val allowed = "one whole number from 1 to ${maxTimeout.inWholeMilliseconds}"
    return Err(
        notRun(
            RefusalReason.MALFORMED,
            Step.PARSE,
            "$TIMEOUT_HEADER is ${values.joinToString()}: allowed is $allowed",
        ),
    )
}
