package io.mimosatrail.core.pipeline

import kotlinx.serialization.Serializable

/**
 * State for a stage that replaces a lost one: the [snapshot] to import, and the [input] of the positions from its end
 * until the position of the frame that carries it.
 */
@Serializable
class RestoredState(val snapshot: KvSnapshot?, val input: ByteArray) {
    /** First position that has to run again. */
    val from: Int get() = snapshot?.positions ?: 0

    /** Bytes of snapshot and input together. */
    val bytes: Int get() = input.size + (snapshot?.state?.size ?: 0)
}
