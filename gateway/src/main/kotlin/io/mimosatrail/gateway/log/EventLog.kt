package io.mimosatrail.gateway.log

import io.github.oshai.kotlinlogging.KotlinLogging

private val log = KotlinLogging.logger("gateway")

/**
 * Writes one line for a decision of [part]: `part: event key=value ...`. Fields whose value is null are left out.
 *
 * The appender behind it is bounded and never blocks; it counts what it drops.
 */
internal fun logEvent(part: String, event: String, vararg fields: Pair<String, Any?>) {
    log.info { line(part, event, fields) }
}

/** Like [logEvent], for what operators should look at. */
internal fun logProblem(part: String, event: String, vararg fields: Pair<String, Any?>) {
    log.warn { line(part, event, fields) }
}

private fun line(part: String, event: String, fields: Array<out Pair<String, Any?>>): String = buildString {
    append(part).append(": ").append(event)
    for ((name, value) in fields) {
        if (value == null) continue
        append(' ').append(name).append('=').append(quoted(value.toString()))
    }
}

/** [text] as one word: in quotes where it has spaces or quotes itself. */
private fun quoted(text: String): String {
    val needsQuotes = text.any { it == ' ' || it == '"' }
    return if (needsQuotes) "\"${text.replace('"', '\'')}\"" else text
}
