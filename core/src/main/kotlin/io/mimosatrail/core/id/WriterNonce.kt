package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Nonce a writer puts in a record to recognise its own write after a lost answer. */
@Serializable
@JvmInline
value class WriterNonce(val value: String) {
    override fun toString(): String = value
}
