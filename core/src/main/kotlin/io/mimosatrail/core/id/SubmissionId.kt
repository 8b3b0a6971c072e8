package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Nonce of one ticket submission, used to recognise the submission if its reply was lost. */
@Serializable
@JvmInline
value class SubmissionId(val value: String) {
    override fun toString(): String = value
}
