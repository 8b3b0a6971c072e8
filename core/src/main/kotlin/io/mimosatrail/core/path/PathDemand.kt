package io.mimosatrail.core.path

import io.mimosatrail.core.id.PlaceId

/** What a stream will need: its prompt, the tokens still to be written, and the place it is served from. */
data class PathDemand(val promptTokens: Int, val outputTokens: Int, val place: PlaceId) {
    /** Tokens that are in the KV cache at the end. */
    val tokens: Int get() = promptTokens + outputTokens
}
