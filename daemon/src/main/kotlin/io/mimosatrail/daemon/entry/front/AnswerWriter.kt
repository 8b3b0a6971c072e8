package io.mimosatrail.daemon.entry.front

import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.pipeline.FinishReason
import io.mimosatrail.daemon.http.Problem
import io.mimosatrail.daemon.http.httpJson
import io.mimosatrail.daemon.http.toProblem

/** Writes the answer of one model request in the shape that the caller asked for. */
internal class AnswerWriter(private val request: RequestId, private val query: ModelQuery) {
    /** The whole answer as one JSON document. */
    fun whole(text: String, tokens: Int, reason: FinishReason): String {
        val choice = when (query.shape) {
            AnswerShape.COMPLETION -> CompletionChoice(text = text, finishReason = reason.label())
            AnswerShape.CHAT -> CompletionChoice(
                message = ChatMessage("assistant", text),
                finishReason = reason.label(),
            )
        }
        return json("", choice, Usage(query.prompt.size, tokens))
    }

    /** One event of a stream that carries new text. */
    fun chunk(text: String): String = event(chunkOf(text, null))

    /** The events that end a whole stream. */
    fun finish(reason: FinishReason): String = event(chunkOf("", reason)) + "data: [DONE]\n\n"

    /** The event that ends a stream that failed. */
    fun failure(refusal: Refusal): String {
        val problem = httpJson.encodeToString(Problem.serializer(), refusal.toProblem(request))
        return "event: error\ndata: $problem\n\n"
    }

    private fun chunkOf(text: String, reason: FinishReason?): String {
        val choice = when (query.shape) {
            AnswerShape.COMPLETION -> CompletionChoice(text = text, finishReason = reason?.label())
            AnswerShape.CHAT -> CompletionChoice(delta = ChatDelta(text), finishReason = reason?.label())
        }
        return json(".chunk", choice, null)
    }

    private fun json(suffix: String, choice: CompletionChoice, usage: Usage?): String {
        val kind = if (query.shape == AnswerShape.CHAT) "chat.completion$suffix" else "text_completion"
        val answer = CompletionAnswer(request.value, kind, query.model.value, listOf(choice), usage)
        return httpJson.encodeToString(CompletionAnswer.serializer(), answer)
    }

    private fun event(data: String) = "data: $data\n\n"
}

private fun FinishReason.label() = name.lowercase()
