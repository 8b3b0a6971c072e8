package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** A digest of all that a request and its repeats have in common: workspace, method, host, target and body. */
@Serializable
@JvmInline
value class RequestFingerprint(val value: String) {
    override fun toString(): String = value
}
