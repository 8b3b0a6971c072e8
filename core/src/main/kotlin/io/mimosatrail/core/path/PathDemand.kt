package io.mimosatrail.core.path

import io.mimosatrail.core.id.PlaceId

/** What a stream needs: its prompt, the output tokens that are still expected, and the place of its entry. */
data class PathDemand(val promptTokens: Int, val outputTokens: Int, val place: PlaceId) {
    /** Tokens in the KV cache when the stream ends. */
    val tokens: Int get() = promptTokens + outputTokens
}
