package io.mimosatrail.bench.scenario

import io.mimosatrail.bench.fleet.Caller
import io.mimosatrail.standins.engine.ToyModel
import org.http4k.core.Method
import org.http4k.core.Response
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val PROBLEM = "application/problem+json"
private const val VERSION = "1"

/** Words of the HTTP client for a connection that did not come about. */
private const val NOT_CONNECTED = "Connection refused"
private val lookUpTimeout = 20.seconds

/** Sends requests as a caller does, to entries given by their base URL, and notes in [ledger] what was told. */
class Requests(private val caller: Caller, private val ledger: Ledger) {
    /** Asks for a completion of a model of [layers] layers; [onText] hears of each piece. */
    fun ask(entry: String, step: ScenarioStep.Ask, layers: Int, onText: (String) -> Unit): Told {
        val text = StringBuilder()
        val answer = attempt {
            caller.stream(entry, step.prompt, step.tokens, step.model) {
                text.append(it)
                onText(it)
            }
        }
        val finished = answer.getOrNull()?.finished == true
        val reference = ToyModel(step.model, VERSION, layers).generateText(step.prompt, step.tokens)
        ledger.note(ToldAnswer(step.name, text.toString(), finished, reference))
        val problem = answer.getOrNull()?.problem
        return when {
            finished -> Told(ToldOutcome.WHOLE, text.toString())
            text.isNotEmpty() -> Told(ToldOutcome.CUT, problem.orEmpty())
            problem != null -> problemOf(problem)
            else -> noAnswer(answer.exceptionOrNull().toString())
        }
    }

    /** Sends a report. */
    fun report(entry: String, step: ScenarioStep.Report): Told {
        val path = "/services/${step.service}/reports"
        val body = storyJson.encodeToString(ReportBody.serializer(), ReportBody(step.key, step.text))
        val timeout = step.timeoutSeconds.seconds
        var recordId: Long? = null
        val told = call(entry, Method.POST, path, body, step.key, timeout) { response ->
            recordId = storyJson.decodeFromString(RecordedBody.serializer(), response.bodyString()).id
            ToldOutcome.RECORDED
        }
        ledger.note(ToldReport(step.service, step.key, told.outcome, recordId))
        return told
    }

    /** Looks a status up. */
    fun lookUp(entry: String, step: ScenarioStep.LookUp): Told =
        call(entry, Method.GET, "/services/${step.service}/status/${step.of}", "", null, lookUpTimeout) {
            ToldOutcome.WHOLE
        }

    private fun call(
        entry: String,
        method: Method,
        path: String,
        body: String,
        key: String?,
        timeout: Duration,
        answered: (Response) -> ToldOutcome,
    ): Told {
        val end = attempt {
            caller.call(entry, method, path, body, key, timeout).use { response -> told(response, answered) }
        }
        return end.getOrElse { noAnswer(it.toString()) }
    }

    private fun told(response: Response, answered: (Response) -> ToldOutcome): Told {
        val replayed = response.header("Idempotency-Replayed") == "true"
        val type = response.header("Content-Type")
        return when {
            type?.startsWith(PROBLEM) == true -> problemOf(response.bodyString())
            response.status.successful -> Told(answered(response), "", replayed)
            type == null -> noAnswer(response.status.toString())
            else -> Told(ToldOutcome.FAILED, response.status.toString(), replayed)
        }
    }

    private fun problemOf(problem: String): Told {
        val body = attempt { storyJson.decodeFromString(ProblemBody.serializer(), problem) }
        return body.fold({ Told(it.outcome, problem) }, { noAnswer(problem) })
    }

    private fun noAnswer(detail: String) =
        Told(if (NOT_CONNECTED in detail) ToldOutcome.NO_CONNECTION else ToldOutcome.NO_ANSWER, detail)

    private fun <T> attempt(action: () -> T): Result<T> = runCatching(action)
}
