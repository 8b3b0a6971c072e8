package io.mimosatrail.gateway.forward

import io.mimosatrail.core.placement.EngineProfile
import io.mimosatrail.core.waiting.RequestSize
import io.mimosatrail.gateway.wire.RequestFields

/** What a request with [fields] is expected to ask of engines with [profile], as far as known from its headers. */
internal fun sizeOf(fields: RequestFields, profile: EngineProfile): RequestSize {
    val limit = fields.maxOutputTokens ?: profile.usualOutputTokens
    return RequestSize(
        fields.promptTokens ?: profile.usualPromptTokens,
        minOf(limit, fields.expectedOutputTokens ?: limit),
    )
}
