package io.mimosatrail.daemon.entry.front

import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.pipeline.FinishReason
import io.mimosatrail.daemon.http.Problem
import io.mimosatrail.daemon.http.httpJson
import io.mimosatrail.daemon.http.toProblem

/** Formats the response to one model request as the completion interface that the caller used defines it. */
internal class CompletionFormatter(private val request: RequestId, private val query: ModelQuery) {
    /** The complete response as one JSON document. */
    fun completion(text: String, tokens: Int, reason: FinishReason): String {
        val choice = when (query.kind) {
            CompletionKind.COMPLETION -> CompletionChoice(text = text, finishReason = reason.label())
            CompletionKind.CHAT -> CompletionChoice(
                message = ChatMessage("assistant", text),
                finishReason = reason.label(),
            )
        }
        return json("", choice, Usage(query.prompt.size, tokens))
    }

    /** A server-sent event with new text. */
    fun chunk(text: String): String = event(chunkOf(text, null))

    /** The events that end a stream after its last token. */
    fun finish(reason: FinishReason): String = event(chunkOf("", reason)) + "data: [DONE]\n\n"

    /** The event that ends a failed stream, with the problem document of [refusal]. */
    fun failure(refusal: Refusal): String {
        val problem = httpJson.encodeToString(Problem.serializer(), refusal.toProblem(request))
        return "event: error\ndata: $problem\n\n"
    }

    private fun chunkOf(text: String, reason: FinishReason?): String {
        val choice = when (query.kind) {
            CompletionKind.COMPLETION -> CompletionChoice(text = text, finishReason = reason?.label())
            CompletionKind.CHAT -> CompletionChoice(delta = ChatDelta(text), finishReason = reason?.label())
        }
        return json(".chunk", choice, null)
    }

    private fun json(suffix: String, choice: CompletionChoice, usage: Usage?): String {
        val objectType = if (query.kind == CompletionKind.CHAT) "chat.completion$suffix" else "text_completion"
        val response = CompletionResponse(request.value, objectType, query.model.value, listOf(choice), usage)
        return httpJson.encodeToString(CompletionResponse.serializer(), response)
    }

    private fun event(data: String) = "data: $data\n\n"
}

private fun FinishReason.label() = name.lowercase()
