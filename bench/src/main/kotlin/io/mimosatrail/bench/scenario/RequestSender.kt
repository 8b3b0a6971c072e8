package io.mimosatrail.bench.scenario

import io.mimosatrail.bench.fleet.Caller
import io.mimosatrail.standins.engine.ToyModel
import org.http4k.core.Method
import org.http4k.core.Response
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val PROBLEM = "application/problem+json"
private const val MODEL_VERSION = "1"

/** Text in the HTTP client's error if the connection was refused. */
private const val CONNECTION_REFUSED = "Connection refused"
private val lookUpTimeout = 20.seconds

/** Sends requests to entries, given by their base URLs, and adds what the caller observes to [checker]. */
class RequestSender(private val caller: Caller, private val checker: InvariantChecker) {
    /** Requests a completion from a model with [layers] layers in all; [onText] is called with each piece of text. */
    fun ask(entry: String, step: ScenarioStep.Ask, layers: Int, onText: (String) -> Unit): ObservedResult {
        val text = StringBuilder()
        val answer = attempt {
            caller.stream(entry, step.prompt, step.tokens, step.model) {
                text.append(it)
                onText(it)
            }
        }
        val isFinished = answer.getOrNull()?.isFinished == true
        val reference = ToyModel(step.model, MODEL_VERSION, layers).generateText(step.prompt, step.tokens)
        checker.observe(ObservedAnswer(step.name, text.toString(), isFinished, reference))
        val problem = answer.getOrNull()?.problem
        return when {
            isFinished -> ObservedResult(ObservedOutcome.WHOLE, text.toString())
            text.isNotEmpty() -> ObservedResult(ObservedOutcome.CUT, problem.orEmpty())
            problem != null -> problemResult(problem)
            else -> noAnswer(answer.exceptionOrNull().toString())
        }
    }

    /** Sends a report once. */
    fun report(entry: String, step: ScenarioStep.Report): ObservedResult {
        val path = "/services/${step.service}/reports"
        val body = lenientJson.encodeToString(ReportBody.serializer(), ReportBody(step.key, step.text))
        val timeout = step.timeoutSeconds.seconds
        var recordId: Long? = null
        val result = call(entry, Method.POST, path, body, step.key, timeout) { response ->
            recordId = lenientJson.decodeFromString(RecordedBody.serializer(), response.bodyString()).id
            ObservedOutcome.RECORDED
        }
        checker.observe(ObservedReport(step.service, step.key, result.outcome, recordId))
        return result
    }

    /** Looks up a status. */
    fun lookUp(entry: String, step: ScenarioStep.LookUp): ObservedResult =
        call(entry, Method.GET, "/services/${step.service}/status/${step.subject}", "", null, lookUpTimeout) {
            ObservedOutcome.WHOLE
        }

    private fun call(
        entry: String,
        method: Method,
        path: String,
        body: String,
        key: String?,
        timeout: Duration,
        onSuccess: (Response) -> ObservedOutcome,
    ): ObservedResult {
        val result = attempt {
            caller.call(entry, method, path, body, key, timeout).use { response -> resultOf(response, onSuccess) }
        }
        return result.getOrElse { noAnswer(it.toString()) }
    }

    private fun resultOf(response: Response, onSuccess: (Response) -> ObservedOutcome): ObservedResult {
        val isReplayed = response.header("Idempotency-Replayed") == "true"
        val type = response.header("Content-Type")
        return when {
            type?.startsWith(PROBLEM) == true -> problemResult(response.bodyString())
            response.status.successful -> ObservedResult(onSuccess(response), "", isReplayed)
            type == null -> noAnswer(response.status.toString())
            else -> ObservedResult(ObservedOutcome.FAILED, response.status.toString(), isReplayed)
        }
    }

    private fun problemResult(problem: String): ObservedResult {
        val body = attempt { lenientJson.decodeFromString(ProblemBody.serializer(), problem) }
        return body.fold({ ObservedResult(it.outcome, problem) }, { noAnswer(problem) })
    }

    private fun noAnswer(detail: String) = ObservedResult(
        if (CONNECTION_REFUSED in detail) ObservedOutcome.NO_CONNECTION else ObservedOutcome.NO_ANSWER,
        detail,
    )

    private fun <T> attempt(action: () -> T): Result<T> = runCatching(action)
}
