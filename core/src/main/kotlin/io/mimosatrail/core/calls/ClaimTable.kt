package io.mimosatrail.core.calls

/** The claims of the slots that an owner serves, bounded in number and kept bytes. */
internal class ClaimTable(private val settings: CallSettings) {
    private val claims = HashMap<ClaimKey, Claim>()
    private val settled = ArrayDeque<Claim>()
    private val waiting = LinkedHashSet<Claim>()
    private val sent = HashMap<AttemptId, Claim>()
    private var keptBytes = 0L

    val isFull: Boolean get() = claims.size >= settings.maxClaims

    /** Claims whose end is still awaited. */
    val pending: Collection<Claim> get() = waiting

    operator fun get(key: ClaimKey): Claim? = claims[key]

    /** Adds a claim whose end is awaited. */
    fun open(claim: Claim) {
        claims[claim.key] = claim
        waiting += claim
    }

    /** Notes that the call of a claim goes to the upstream, for [attempt]. */
    fun onSent(claim: Claim, attempt: AttemptId) {
        claim.state = ClaimState.Running
        claim.sender = attempt
        sent[attempt] = claim
    }

    /** The claim that was sent for [attempt] and has not ended. */
    fun sentFor(attempt: AttemptId): Claim? = sent[attempt]

    /** Notes the end of a claim; an answer beyond the bounds is not kept. */
    fun settle(claim: Claim, state: ClaimState, wall: WallTime) {
        leave(claim)
        claim.state = bounded(state)
        claim.since = wall
        settled += claim
    }

    /** Removes a claim; its key is fresh again. */
    fun release(claim: Claim) {
        leave(claim)
        claims.remove(claim.key)
    }

    fun add(history: ClaimHistory) {
        history.claims.values.sortedBy { it.since }.forEach { claim ->
            claims[claim.key] = claim
            claim.state = bounded(claim.state)
            settled += claim
        }
    }

    /** Forgets claims that ended before [bound]. */
    fun forgetBefore(bound: WallTime) {
        while (settled.isNotEmpty() && settled.first().since < bound) forget(settled.removeFirst())
    }

    private fun leave(claim: Claim) {
        waiting -= claim
        claim.sender?.let(sent::remove)
    }

    private fun forget(claim: Claim) {
        keptBytes -= (claim.state as? ClaimState.Answered)?.answer?.size ?: 0
        claims.remove(claim.key, claim)
    }

    private fun bounded(state: ClaimState): ClaimState {
        val size = (state as? ClaimState.Answered)?.answer?.size ?: return state
        if (size > settings.maxAnswerBytes || keptBytes + size > settings.maxKeptBytes) return ClaimState.Answered(null)
        keptBytes += size
        return state
    }
}
