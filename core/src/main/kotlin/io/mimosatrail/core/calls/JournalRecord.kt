package io.mimosatrail.core.calls

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.WriterNonce
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A record of a claim journal. Written only at a sequence that is empty. */
@Serializable
sealed interface JournalRecord {
    val nonce: WriterNonce

    /** Claims and outcomes, in the order in which they apply. */
    @Serializable
    @SerialName("batch")
    class Batch(override val nonce: WriterNonce, val written: WallTime, val entries: List<JournalEntry>) :
        JournalRecord

    /** Ends the journal: a later append by its owner finds the sequence taken. Never deleted. */
    @Serializable
    @SerialName("seal")
    data class Seal(override val nonce: WriterNonce, val by: InstanceId) : JournalRecord
}

/** State of one key in a journal. A later entry replaces an earlier one of the same key. */
@Serializable
sealed interface JournalEntry {
    val key: ClaimKey

    /** The call may be sent once this entry is stored. */
    @Serializable
    @SerialName("claimed")
    data class Claimed(override val key: ClaimKey, val hash: RequestHash) : JournalEntry

    /** The call ran; [answer] is null if it was too large to store. */
    @Serializable
    @SerialName("answered")
    class Answered(override val key: ClaimKey, val hash: RequestHash, val answer: UpstreamAnswer?) : JournalEntry

    /** The claimed call was not run and never will be; the key may be claimed again. */
    @Serializable
    @SerialName("released")
    data class Released(override val key: ClaimKey) : JournalEntry
}

private const val ENTRY_OVERHEAD_BYTES = 160

/** Approximate encoded size, in bytes. */
internal val JournalEntry.size: Int
    get() = ENTRY_OVERHEAD_BYTES + key.key.value.length + key.workspace.value.length +
        ((this as? JournalEntry.Answered)?.answer?.size ?: 0)
