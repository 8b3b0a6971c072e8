package io.mimosatrail.core.quarantine

import io.mimosatrail.core.id.PromptPartId
import io.mimosatrail.core.id.RequestFingerprint
import io.mimosatrail.core.id.ServiceId

/**
 * What a request for [service] has in common with others: the parts of its prompt, of which the last is its own, and a
 * fingerprint that only its repeats share. [computeFingerprint] is called at most once, while the request is in memory.
 */
class RequestContent(
    val promptParts: List<PromptPartId>,
    val service: ServiceId? = null,
    private val computeFingerprint: () -> RequestFingerprint,
) {
    /** The parts of the prompt that other requests may share. */
    val sharedParts: List<PromptPartId> = promptParts.dropLast(1)

    /** [sharedParts] as contents. */
    internal val parts: List<Content.Part> = sharedParts.distinct().map(Content::Part)

    /** The fingerprint if it has been computed. */
    var knownFingerprint: RequestFingerprint? = null
        private set

    /** The contents of the request, without the whole of it if the fingerprint has not been computed. */
    internal val knownContents: List<Content>
        get() = knownFingerprint?.let { parts + Content.Request(it) } ?: parts

    /** The contents of the request. */
    internal val contents: List<Content> get() = parts + Content.Request(fingerprint())

    /** Computes the fingerprint, whose cost grows with the body of the request, unless that was done before. */
    fun fingerprint(): RequestFingerprint = knownFingerprint ?: computeFingerprint().also { knownFingerprint = it }
}
