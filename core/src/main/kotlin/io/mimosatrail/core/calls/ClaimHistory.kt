package io.mimosatrail.core.calls

/** Claims read from the sealed journals of earlier owners, for the slots that a new owner takes over. */
class ClaimHistory {
    internal val claims = LinkedHashMap<ClaimKey, Claim>()

    val size: Int get() = claims.size

    /**
     * Applies the entries of [batch] whose key passes [accepts]. Batches must be added in journal order. A claim
     * without a stored outcome is [ClaimState.Unknown].
     */
    fun add(batch: JournalRecord.Batch, accepts: (ClaimKey) -> Boolean) {
        batch.entries.filter { accepts(it.key) }.forEach { add(it, batch.written) }
    }

    private fun add(entry: JournalEntry, written: WallTime) {
        claims.remove(entry.key)
        when (entry) {
            is JournalEntry.Claimed -> put(entry.key, entry.hash, ClaimState.Unknown, written)
            is JournalEntry.Answered -> put(entry.key, entry.hash, ClaimState.Answered(entry.answer), written)
            is JournalEntry.Released -> Unit
        }
    }

    private fun put(key: ClaimKey, hash: RequestHash, state: ClaimState, written: WallTime) {
        claims[key] = Claim(key, hash, state, written)
    }
}
