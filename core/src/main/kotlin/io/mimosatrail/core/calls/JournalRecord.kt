package io.mimosatrail.core.calls

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.WriterNonce
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One record of a claim journal; created only where its sequence is empty. */
@Serializable
sealed interface JournalRecord {
    val nonce: WriterNonce

    /** Claims and outcomes, in order. */
    @Serializable
    @SerialName("batch")
    class Batch(override val nonce: WriterNonce, val written: WallTime, val entries: List<JournalEntry>) :
        JournalRecord

    /** Ends the journal: an append of its owner finds the sequence taken. Never deleted. */
    @Serializable
    @SerialName("seal")
    data class Seal(override val nonce: WriterNonce, val by: InstanceId) : JournalRecord
}

/** What a journal says of one key; a later entry replaces an earlier one. */
@Serializable
sealed interface JournalEntry {
    val key: ClaimKey

    /** The call may be sent from now on. */
    @Serializable
    @SerialName("claimed")
    data class Claimed(override val key: ClaimKey, val hash: RequestHash) : JournalEntry

    /** The call ran; [answer] is null where it was too large to keep. */
    @Serializable
    @SerialName("answered")
    class Answered(override val key: ClaimKey, val hash: RequestHash, val answer: KeptAnswer?) : JournalEntry

    /** The claimed call was not run and never will be; the key is fresh again. */
    @Serializable
    @SerialName("released")
    data class Released(override val key: ClaimKey) : JournalEntry
}

private const val ENTRY_OVERHEAD_BYTES = 160

/** Approximate encoded size, in bytes. */
internal val JournalEntry.size: Int
    get() = ENTRY_OVERHEAD_BYTES + key.key.value.length + key.workspace.value.length +
        ((this as? JournalEntry.Answered)?.answer?.size ?: 0)
