package io.mimosatrail.core.quarantine

import io.mimosatrail.core.id.PromptPartId
import io.mimosatrail.core.id.RequestFingerprint

private const val REQUEST_PREFIX = "request:"
private const val PART_PREFIX = "part:"

/** What requests may have in common that makes upstreams crash. */
sealed interface Content {
    /** A part of their prompts. */
    data class Part(val id: PromptPartId) : Content {
        /** Parts are named by callers, so a prefix distinguishes those that read like something else. */
        override fun toString(): String {
            val isAmbiguous = id.value.startsWith(REQUEST_PREFIX) || id.value.startsWith(PART_PREFIX)
            return if (isAmbiguous) PART_PREFIX + id.value else id.value
        }
    }

    /** Everything: they are repeats of one request. */
    data class Request(val fingerprint: RequestFingerprint) : Content {
        override fun toString(): String = REQUEST_PREFIX + fingerprint.value
    }

    companion object {
        /** The content that [text] stands for, as its [toString] writes it. */
        fun parse(text: String): Content = when {
            text.startsWith(REQUEST_PREFIX) -> Request(RequestFingerprint(text.removePrefix(REQUEST_PREFIX)))
            else -> Part(PromptPartId(text.removePrefix(PART_PREFIX)))
        }
    }
}

/**
 * The requests that have all of [contents] in common. More than one content stands for parts that no observation tells
 * apart, since all requests that had one of them had the others.
 */
data class RequestPattern(val contents: Set<Content>) {
    constructor(content: Content) : this(setOf(content))

    /** Parts of prompts contain no comma, which separates them in the header of a request. */
    override fun toString(): String = contents.map { it.toString() }.sorted().joinToString(",")

    companion object {
        /** The pattern that [text] stands for, as its [toString] writes it. */
        fun parse(text: String) = RequestPattern(text.split(',').mapTo(LinkedHashSet(), Content::parse))
    }
}
