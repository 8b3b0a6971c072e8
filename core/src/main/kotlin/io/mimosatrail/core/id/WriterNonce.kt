package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Nonce that a writer puts into a record, so that it recognises its own write if the store's reply was lost. */
@Serializable
@JvmInline
value class WriterNonce(val value: String) {
    override fun toString(): String = value
}
