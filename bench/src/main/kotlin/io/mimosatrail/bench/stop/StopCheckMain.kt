package io.mimosatrail.bench.stop

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import io.mimosatrail.bench.fleet.Caller
import io.mimosatrail.bench.fleet.StreamedAnswer
import io.mimosatrail.standins.engine.ToyModel
import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request

private const val MODEL = "inspection-12b"
private const val MODEL_LAYERS = 48
private const val CALLER_KEY = "vaxelvakt-demo-key"
private const val PROMPT = "Heater log of switch 12 at Kiruna: which heater needs attention?"
private const val TOKENS = 300
private const val START_ATTEMPTS = 200
private const val RETRY_DELAY_MILLIS = 100L

/**
 * Adds the processes that `bin/check-stop` has started to the instance list, then streams one long answer while the
 * script stops the entry.
 */
internal class StopCheckCommand : CliktCommand(name = "stop-check") {
    private val list by option("--list", help = "URL of the instance list").required()
    private val entry by option("--entry", help = "URL of the entry").required()
    private val rows by option("--row", help = "instance list row as JSON").multiple(required = true)

    override fun help(context: Context) =
        "Prints \"streaming\" at the first token, then \"whole\" (exit status 0) or what is missing (exit status 1)."

    override fun run() {
        JettyClient().use { http ->
            rows.forEach { row -> http(Request(Method.PUT, "$list/v1/instances/${idOf(row)}").body(row)) }
        }
        val answer = Caller(CALLER_KEY).use { streamOnceReady(it) }
        val expected = ToyModel(MODEL, "1", MODEL_LAYERS).generateText(PROMPT, TOKENS)
        if (answer.isFinished && answer.text == expected) return echo("whole")
        echo("not whole: finished=${answer.isFinished}, ${answer.text.length} of $TOKENS tokens, ${answer.problem}")
        throw ProgramResult(1)
    }

    /** Repeats the request until it is answered with a token, as the entry refuses requests until it is ready. */
    private fun streamOnceReady(caller: Caller): StreamedAnswer {
        var answer = StreamedAnswer(0, "", isFinished = false, problem = "not tried")
        repeat(START_ATTEMPTS) {
            var isStreaming = false
            answer = caller.stream(entry, PROMPT, TOKENS, MODEL) {
                if (!isStreaming) echo("streaming")
                isStreaming = true
            }
            if (isStreaming) return answer
            Thread.sleep(RETRY_DELAY_MILLIS)
        }
        return answer
    }

    private fun idOf(row: String) = Regex("\"id\":\"([^\"]+)\"").find(row)?.groupValues?.get(1).orEmpty()
}

/** Main function of the client side of `bin/check-stop`. */
fun main(arguments: Array<String>) = StopCheckCommand().main(arguments)
