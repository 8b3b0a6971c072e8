package io.mimosatrail.gateway.log

import io.github.oshai.kotlinlogging.KotlinLogging

private val log = KotlinLogging.logger("gateway")

/**
 * Logs one event of [component] at level info, as `component: event key=value ...`. Fields whose value is null are left
 * out.
 *
 * The appender's queue is bounded. It never blocks, and counts the lines that it drops.
 */
internal fun logEvent(component: String, event: String, vararg fields: Pair<String, Any?>) {
    log.info { line(component, event, fields) }
}

/** Like [logEvent] at level warn, for problems that operators should look at. */
internal fun logProblem(component: String, event: String, vararg fields: Pair<String, Any?>) {
    log.warn { line(component, event, fields) }
}

/** Logs at level error, with the stack trace, that [step] failed for a reason that was not foreseen. */
internal fun logFailure(step: String, cause: Throwable) {
    log.error(cause) { line("gateway", "step-failed", arrayOf("step" to step, "cause" to cause)) }
}

private fun line(component: String, event: String, fields: Array<out Pair<String, Any?>>): String = buildString {
    append(component).append(": ").append(event)
    for ((name, value) in fields) {
        if (value == null) continue
        append(' ').append(name).append('=').append(quoted(shortened(value.toString())))
    }
}

/** Longer values are cut: they can contain what callers or upstreams sent. */
private const val MAX_VALUE_CHARS = 400

private fun shortened(text: String): String {
    val isLong = text.length > MAX_VALUE_CHARS
    return if (isLong) text.take(MAX_VALUE_CHARS) + "..." else text
}

/** [text], in double quotes if it contains a space or a double quote; inner double quotes become single quotes. */
private fun quoted(text: String): String {
    val needsQuotes = text.any { it == ' ' || it == '"' }
    return if (needsQuotes) "\"${text.replace('"', '\'')}\"" else text
}
