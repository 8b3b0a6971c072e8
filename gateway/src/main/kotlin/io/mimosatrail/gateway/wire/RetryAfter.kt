package io.mimosatrail.gateway.wire

import java.time.Instant
import java.time.ZonedDateTime
import java.time.format.DateTimeFormatter
import java.time.format.DateTimeParseException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Longer values count as this one, so that a sum with the current time can't overflow. */
private const val MAX_SECONDS = 1e9

/**
 * Decodes the value of a `Retry-After` header: seconds, which may have a fraction, or an HTTP date. A date counts from
 * [sentAt], the value of the answer's `Date` header, since clocks differ, or from [now] if that is missing or invalid.
 * Returns null if [value] is neither, or if it is not positive.
 */
fun parseRetryAfter(value: String, sentAt: String?, now: () -> Instant = Instant::now): Duration? {
    val seconds = value.trim().toDoubleOrNull()
    val delay = when {
        seconds == null -> parseDate(value)?.let { untilMillis(it, sentAt, now) }
        seconds.isNaN() -> null
        else -> seconds.coerceAtMost(MAX_SECONDS).seconds
    }
    return delay?.takeIf { it > Duration.ZERO }
}

private fun untilMillis(end: Instant, sentAt: String?, now: () -> Instant): Duration {
    val from = sentAt?.let(::parseDate) ?: now()
    return (end.toEpochMilli() - from.toEpochMilli()).milliseconds
}

private fun parseDate(text: String): Instant? = try {
    ZonedDateTime.parse(text.trim(), DateTimeFormatter.RFC_1123_DATE_TIME).toInstant()
} catch (_: DateTimeParseException) {
    null
}
