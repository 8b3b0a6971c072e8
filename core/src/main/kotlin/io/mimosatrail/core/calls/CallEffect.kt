package io.mimosatrail.core.calls

/** What a [ClaimJournal] asks its host to do. */
sealed interface CallEffect {
    /** Creates [record] at [sequence] if that is empty, and reports the store's reply. */
    class Append(val sequence: Long, val record: JournalRecord.Batch) : CallEffect

    /** Sends the attempt's call to the upstream, once, and reports the result. */
    data class Run(val attempt: AttemptId) : CallEffect

    data class Reply(val attempt: AttemptId, val decision: CallDecision) : CallEffect

    /** Another process sealed the journal; this epoch is over. */
    data object EpochLost : CallEffect
}

/** A promise of [ClaimJournal] that was found broken. */
enum class CallInvariant {
    SENT_WITHOUT_CLAIM,
    SENT_TWICE,
    FOREIGN_BATCH,
}
