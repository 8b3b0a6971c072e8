package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Nonce of one ticket submission, used to recognise it after a lost answer. */
@Serializable
@JvmInline
value class SubmissionId(val value: String) {
    override fun toString(): String = value
}
