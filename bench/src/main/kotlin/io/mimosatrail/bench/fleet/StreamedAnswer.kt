package io.mimosatrail.bench.fleet

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.http4k.core.Response

private const val DATA = "data: "

/**
 * A streamed answer as its caller saw it. [isFinished] is true only if the finish event arrived. [problem] describes
 * the error of a failed request or stream, usually as a problem document, and is null if no error was received.
 */
data class StreamedAnswer(val status: Int, val text: String, val isFinished: Boolean, val problem: String?)

/** Reads the server-sent events of [response] to their end; [onText] is called with each piece of text. */
internal fun readStream(response: Response, onText: (String) -> Unit): StreamedAnswer {
    if (response.status.code != 200) {
        val problem = response.bodyString().ifEmpty { response.status.toString() }
        return StreamedAnswer(response.status.code, "", false, problem)
    }
    val text = StringBuilder()
    var isFinished = false
    var problem: String? = null
    var isError = false
    response.body.stream.bufferedReader().forEachLine { line ->
        when {
            line == "event: error" -> isError = true
            line == "$DATA[DONE]" -> isFinished = true
            line.startsWith(DATA) && isError -> problem = line.removePrefix(DATA)
            line.startsWith(DATA) -> textOf(line).let {
                text.append(it)
                onText(it)
            }
        }
    }
    return StreamedAnswer(response.status.code, text.toString(), isFinished, problem)
}

private fun textOf(line: String): String {
    val event = Json.parseToJsonElement(line.removePrefix(DATA)).jsonObject
    val choice = event.getValue("choices").jsonArray.first().jsonObject
    return choice["text"]?.jsonPrimitive?.content.orEmpty()
}
