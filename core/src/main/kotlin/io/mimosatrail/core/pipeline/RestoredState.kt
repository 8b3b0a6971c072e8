package io.mimosatrail.core.pipeline

import kotlinx.serialization.Serializable

/**
 * State for a stage that replaces a lost one, sent with its first frame.
 *
 * The stage imports [snapshot], if there is one, and then runs [input]: the positions from the end of the snapshot to
 * the first position of the frame.
 */
@Serializable
class RestoredState(val snapshot: KvSnapshot?, val input: ByteArray) {
    /** First position that the replacement stage has to run. */
    val from: Int get() = snapshot?.positions ?: 0

    /** Size of snapshot and input in bytes. */
    val bytes: Int get() = input.size + (snapshot?.state?.size ?: 0)
}
