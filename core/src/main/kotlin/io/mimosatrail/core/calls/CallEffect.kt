package io.mimosatrail.core.calls

/** An action that a [ClaimJournal] requests from its host. */
sealed interface CallEffect {
    /** Store [record] at [sequence] if that is empty, and pass the store's reply to [ClaimJournal.onAppended]. */
    class Append(val sequence: Long, val record: JournalRecord.Batch) : CallEffect

    /** Send the attempt's call to the upstream once, and pass the result to [ClaimJournal.onResult]. */
    data class Run(val attempt: AttemptId) : CallEffect

    /** Reply to the caller of [attempt]. */
    data class Reply(val attempt: AttemptId, val decision: CallDecision) : CallEffect

    /** Another process has sealed the journal; this epoch is over. */
    data object EpochLost : CallEffect
}

/** An invariant of [ClaimJournal], reported when it is found violated. */
enum class CallInvariant {
    /** A call was about to be sent although its claim was not part of the stored record. */
    SENT_WITHOUT_CLAIM,

    /** A call was about to be sent a second time. */
    SENT_TWICE,

    /** The journal contains a batch of another writer. */
    FOREIGN_BATCH,
}
