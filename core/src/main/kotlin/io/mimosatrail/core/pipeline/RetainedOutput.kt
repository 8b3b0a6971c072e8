package io.mimosatrail.core.pipeline

import java.io.ByteArrayOutputStream

/**
 * Boundary activations and KV snapshot kept for the recovery of the next stage.
 *
 * Activations cover positions [from] until [end]; the state is complete while the snapshot reaches [from].
 */
internal class RetainedOutput(private var from: Int) {
    private var snapshot: KvSnapshot? = null
    private val activations = ByteArrayOutputStream()
    private var perPosition = 0
    private var dropped = false
    private var end = from

    /** Bytes held. */
    val bytes: Long get() = activations.size().toLong() + (snapshot?.state?.size ?: 0)

    fun append(position: Int, count: Int, bytes: ByteArray) {
        if (dropped) return
        if (position != end || bytes.size % count != 0) return drop()
        perPosition = bytes.size / count
        activations.write(bytes)
        end += count
    }

    /** Keeps [newer] and forgets the activations that it covers. */
    fun keep(newer: KvSnapshot) {
        if (dropped || newer.positions !in from..end) return
        val rest = activations.toByteArray().copyOfRange((newer.positions - from) * perPosition, activations.size())
        activations.reset()
        activations.write(rest)
        from = newer.positions
        snapshot = newer
    }

    /** Forgets everything; the next stage can't be restored from here any more. */
    fun drop() {
        dropped = true
        snapshot = null
        activations.reset()
    }

    /** State of the next stage for positions 0 until [position], or null where it isn't whole. */
    fun restoredState(position: Int): RestoredState? {
        val start = snapshot?.positions ?: 0
        if (dropped || start != from || position !in from..end) return null
        return RestoredState(snapshot, activations.toByteArray().copyOf((position - from) * perPosition))
    }
}
