package io.mimosatrail.core.calls

/** The claims of the slots that an owner serves, limited in number and in total bytes of stored answers. */
internal class ClaimTable(private val settings: CallSettings) {
    private val claims = HashMap<ClaimKey, Claim>()
    private val completed = ArrayDeque<Claim>()
    private val pendingClaims = LinkedHashSet<Claim>()
    private val sent = HashMap<AttemptId, Claim>()
    private var keptBytes = 0L

    val isFull: Boolean get() = claims.size >= settings.maxClaims

    /** Claims whose call has neither an answer nor an unknown outcome yet. */
    val pending: Collection<Claim> get() = pendingClaims

    operator fun get(key: ClaimKey): Claim? = claims[key]

    /** Adds a claim whose call is not completed. */
    fun addPending(claim: Claim) {
        claims[claim.key] = claim
        pendingClaims += claim
    }

    /** Called when the claim's call is sent to the upstream for [attempt]. */
    fun onSent(claim: Claim, attempt: AttemptId) {
        claim.state = ClaimState.Running
        claim.sentAttempt = attempt
        sent[attempt] = claim
    }

    /** The claim whose call was sent for [attempt]; null if there is none or it is completed. */
    fun sentFor(attempt: AttemptId): Claim? = sent[attempt]

    /** Completes a claim in [state], answered or unknown; an answer beyond the size limits is not stored. */
    fun complete(claim: Claim, state: ClaimState, wall: WallTime) {
        removePending(claim)
        claim.state = limited(state)
        claim.since = wall
        completed += claim
    }

    /** Removes a claim whose call was not run; its key may be claimed again. */
    fun release(claim: Claim) {
        removePending(claim)
        claims.remove(claim.key)
    }

    /** Adds the completed claims of earlier epochs. */
    fun add(history: ClaimHistory) {
        history.claims.values.sortedBy { it.since }.forEach { claim ->
            claims[claim.key] = claim
            claim.state = limited(claim.state)
            completed += claim
        }
    }

    /** Removes claims that were completed before [bound]. */
    fun removeBefore(bound: WallTime) {
        while (completed.isNotEmpty() && completed.first().since < bound) remove(completed.removeFirst())
    }

    private fun removePending(claim: Claim) {
        pendingClaims -= claim
        claim.sentAttempt?.let(sent::remove)
    }

    private fun remove(claim: Claim) {
        keptBytes -= (claim.state as? ClaimState.Answered)?.answer?.size ?: 0
        claims.remove(claim.key, claim)
    }

    /** [state], without its answer if that exceeds the size limits. */
    private fun limited(state: ClaimState): ClaimState {
        val size = (state as? ClaimState.Answered)?.answer?.size ?: return state
        if (size > settings.maxAnswerBytes || keptBytes + size > settings.maxKeptBytes) return ClaimState.Answered(null)
        keptBytes += size
        return state
    }
}
