package io.mimosatrail.core.pipeline

import java.io.ByteArrayOutputStream

/**
 * Output of a stage and latest KV snapshot of the next one, retained to restore the next stage if it is lost.
 *
 * The activations cover the positions from [from] to [end] (exclusive). The state is complete as long as the snapshot
 * covers all positions before [from].
 */
internal class RetainedOutput(private var from: Int) {
    private var snapshot: KvSnapshot? = null
    private val activations = ByteArrayOutputStream()
    private var perPosition = 0
    private var discarded = false
    private var end = from

    /** Size of the activations and the snapshot in bytes. */
    val bytes: Long get() = activations.size().toLong() + (snapshot?.state?.size ?: 0)

    /** Adds activations of [count] positions. Discards everything if they do not follow the last ones. */
    fun append(position: Int, count: Int, bytes: ByteArray) {
        if (discarded) return
        if (position != end || bytes.size % count != 0) return discard()
        perPosition = bytes.size / count
        activations.write(bytes)
        end += count
    }

    /** Replaces the snapshot by [newer] and drops the activations that it covers. */
    fun replaceSnapshot(newer: KvSnapshot) {
        if (discarded || newer.positions !in from..end) return
        val remaining = activations.toByteArray().copyOfRange(
            (newer.positions - from) * perPosition,
            activations.size(),
        )
        activations.reset()
        activations.write(remaining)
        from = newer.positions
        snapshot = newer
    }

    /** Drops all state permanently. The next stage can no longer be restored from this one. */
    fun discard() {
        discarded = true
        snapshot = null
        activations.reset()
    }

    /** State of the next stage for all positions before [position], or null if it is incomplete. */
    fun restoredState(position: Int): RestoredState? {
        val start = snapshot?.positions ?: 0
        if (discarded || start != from || position !in from..end) return null
        return RestoredState(snapshot, activations.toByteArray().copyOf((position - from) * perPosition))
    }
}
