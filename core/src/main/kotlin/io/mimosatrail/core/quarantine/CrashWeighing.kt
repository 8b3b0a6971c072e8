package io.mimosatrail.core.quarantine

import io.mimosatrail.core.time.Moment
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Requests of [pattern] made the upstreams of [losses] crash. */
internal class CrashCause(val pattern: RequestPattern, val losses: Set<UpstreamLoss>)

/**
 * The [causes] of losses; the requests that only trials can tell apart from chance or from each other, which are
 * [undecided]; and the parts of prompts that are [doubtful], which is less than a cause.
 */
internal class CrashVerdict(
    val causes: List<CrashCause> = emptyList(),
    val undecided: Set<Content> = emptySet(),
    val doubtful: Set<Content> = emptySet(),
)

/**
 * Weighs which contents explain the losses of upstreams: the smallest set of them, since each other loss has a cause
 * that has nothing to do with requests.
 *
 * The evidence against a content is a logarithmic likelihood ratio. Each moment at which upstreams were lost under it
 * counts by how rarely that happens to requests without it, and each further upstream that was lost at the same moment
 * under another request with it by how rare the content is: the upstreams of a rack that loses power all run something,
 * and a request that its caller sends several times at once is on several of them. A content that was sound until then
 * is not likely to have become harmful.
 *
 * What an upstream survived is not the cause of earlier losses: the content that crashes one upstream crashes each.
 */
internal class CrashWeighing(private val uses: ContentUses) {
    /**
     * Weighs those losses of [ledger] that are [confirmed][UpstreamLoss.isConfirmed] and known for as long as needed.
     * Parts that are [refused] account for the losses that they were on, before anything else does.
     */
    fun settled(ledger: LossLedger, refused: List<RequestPattern>, objectionTime: Duration, now: Moment): CrashVerdict {
        val claims = claims(ledger) { loss, run, content ->
            loss.isConfirmed && isSettled(run, content, objectionTime, now)
        }
        return weigh(claims, causes(ledger, refused), objectionTime, now)
    }

    /** Weighs all of [ledger], also what others may know more about and upstreams that are only silent so far. */
    fun preliminary(ledger: LossLedger, refused: List<RequestPattern>, now: Moment): CrashVerdict =
        weigh(claims(ledger) { _, _, _ -> true }, causes(ledger, refused), Duration.ZERO, now)

    /** The losses that requests with the parts of each of [refused] were on. */
    private fun causes(ledger: LossLedger, refused: List<RequestPattern>): List<CrashCause> =
        refused.filter { pattern -> pattern.contents.all { it is Content.Part } }.map { pattern ->
            val losses = ledger.lossesUnder(pattern.contents.first())
            CrashCause(pattern, losses.filterTo(LinkedHashSet()) { loss -> loss.runs.any { pattern.contents in it } })
        }.filter { it.losses.isNotEmpty() }

    private fun isSettled(run: LostRun, content: Content, objectionTime: Duration, now: Moment): Boolean {
        val answerTime = if (uses.hasSurvivedRecently(content, now)) PROGRESS_TIME else Duration.ZERO
        return now - run.addedAt >= objectionTime + answerTime
    }

    /** The losses that each content may explain, of contents that several losses have in common. */
    private fun claims(ledger: LossLedger, isCounted: (UpstreamLoss, LostRun, Content) -> Boolean): List<Claim> =
        ledger.contentsInCommon().map { content ->
            val soundAt = uses.lastSurvivor(content)
            val claim = Claim(content)
            for (loss in ledger.lossesUnder(content)) {
                if (soundAt != null && soundAt >= loss.at) continue
                loss.runsWith(content).filter { isCounted(loss, it, content) }.forEach { claim.add(loss, it) }
            }
            claim
        }.filter { it.size >= MIN_LOSSES_OF_DOUBT }

    private fun weigh(all: List<Claim>, known: List<CrashCause>, objectionTime: Duration, now: Moment): CrashVerdict {
        if (all.isEmpty()) return CrashVerdict(known)
        val causes = known.toMutableList()
        val undecided = HashSet<Content>()
        val explained = known.flatMapTo(HashSet()) { it.losses }
        var claims = all.mapNotNull { it.without(explained) }
        while (true) {
            val scale = Scale(claims, objectionTime, now)
            val best = claims.filter { it.size >= MIN_LOSSES && scale.isSufficient(it) && !scale.hasNarrowerRival(it) }
                .maxWithOrNull(compareBy<Claim> { scale.weight(it) }.thenBy { it.content is Content.Request }) ?: break
            val rivals = claims.filter { it !== best && it.losses == best.losses && scale.isRival(it, best) }
            when {
                best.content is Content.Part -> causes += CrashCause(pattern(best, rivals, now), all.lossesOf(best))
                rivals.isEmpty() -> causes += CrashCause(RequestPattern(best.content), all.lossesOf(best))
                else -> undecided += (rivals + best).map { it.content }
            }
            claims = claims.mapNotNull { it.without(best.losses) }
        }
        undecided += claims.filter { it.content is Content.Request && it.size >= MIN_LOSSES }.map { it.content }
        val scale = Scale(claims, objectionTime, now)
        val doubtful = claims.filter {
            it.content is Content.Part && scale.isDoubtful(it)
        }.mapTo(HashSet()) { it.content }
        return CrashVerdict(causes, undecided, doubtful)
    }

    /** The losses that the content of [claim] may explain, also those that another cause accounts for. */
    private fun List<Claim>.lossesOf(claim: Claim): Set<UpstreamLoss> = first { it.content == claim.content }.losses

    /**
     * Of parts that occurred in the same lost runs, the one that was sent least; all of them together if that doesn't
     * tell them apart, so that requests that have only some of them in common are not refused.
     */
    private fun pattern(best: Claim, rivals: List<Claim>, now: Moment): RequestPattern {
        val tied = (rivals + best).filter { it.hasSameRunsAs(best) }
        val fewest = tied.minOf { uses.sends(it.content, now) }
        return RequestPattern(tied.filter { uses.sends(it.content, now) == fewest }.mapTo(HashSet()) { it.content })
    }

    /** Compares [claims] with each other. */
    private inner class Scale(
        private val claims: List<Claim>,
        private val objectionTime: Duration,
        private val now: Moment,
    ) {
        private val recentLosses = claims.flatMapTo(LinkedHashSet()) { it.losses }
            .filterTo(HashSet()) { now - it.at < RecentCount.WINDOW }
        private val weights = HashMap<Content, Double>()

        /** Evidence that the content of [claim] makes upstreams crash, in natural logarithms. */
        fun weight(claim: Claim): Double = weights.getOrPut(claim.content) {
            val byMoment = -ln(lossRateWithout(claim))
            val bySpread = -ln(uses.share(claim.content, now).coerceIn(MIN_SHARE, 1.0))
            val evidence = claim.losses.byMoment().sumOf { group ->
                val further = claim.independentRuns(group) - 1
                if (further == 0 || hasAnotherOnAll(claim, group)) byMoment else byMoment + bySpread * further
            }
            evidence - doubt(claim.content)
        }

        /**
         * True if another content, which has nothing to do with that of [claim], was on all upstreams of [group] too.
         * Then they may have been lost together for a reason of their own.
         */
        private fun hasAnotherOnAll(claim: Claim, group: List<UpstreamLoss>): Boolean = claims.any { other ->
            other !== claim &&
                other.losses.containsAll(group) &&
                !other.isRelatedTo(claim) &&
                !uses.hasSurvivedRecently(other.content, now)
        }

        fun isSufficient(claim: Claim): Boolean {
            if (claim.content is Content.Request) return hasSeveralMoments(claim) && weight(claim) >= SUFFICIENT
            if (!uses.hasSurvivedRecently(claim.content, now)) return weight(claim) >= SUFFICIENT
            val needed = if (claim.losses.all(::isAnswered)) SUFFICIENT else SUFFICIENT_UNANSWERED
            return !isUninformative(claim.content) && hasSeveralMoments(claim) && weight(claim) >= needed
        }

        private fun hasSeveralMoments(claim: Claim): Boolean = claim.losses.byMoment().size >= MIN_MOMENTS

        /**
         * What was sound recently may be so again, which can only show once upstreams are there to answer: if all are
         * lost, nothing clears the contents of the requests that were on them.
         */
        private fun isAnswered(loss: UpstreamLoss): Boolean =
            now - (loss.answeredSince ?: (loss.at + MAX_RETURN_TIME)) >= objectionTime

        /** True if [claim], which explains the same losses as [best], does so about as well. */
        fun isRival(claim: Claim, best: Claim): Boolean =
            claim.isRivalOf(best) && weight(best) - weight(claim) < CLEAR_DIFFERENCE

        fun isDoubtful(claim: Claim): Boolean =
            !isUninformative(claim.content) && weight(claim) >= DOUBTFUL && !hasNarrowerRival(claim, exceptions = 0)

        /**
         * True if another content that occurs only together with that of [claim], such as a whole request with the
         * part, explains the same losses but for [exceptions]: refusing it affects fewer callers.
         */
        fun hasNarrowerRival(claim: Claim, exceptions: Int = maxOf(1, claim.size / LOSSES_PER_EXCEPTION)): Boolean =
            claims.any { other ->
                claim.size - other.size <= exceptions && other !== claim && other.isNarrowerThan(claim)
            }

        /**
         * True if the content of a large share of the requests was sound recently: it is on each upstream that is lost,
         * and to refuse it would turn away many callers on little evidence.
         */
        private fun isUninformative(content: Content): Boolean =
            uses.hasSurvivedRecently(content, now) && uses.isCommon(content, now)

        private fun doubt(content: Content): Double =
            if (uses.hasSurvivedRecently(content, now)) TURNED_HARMFUL + ln(1.0 + uses.survivors(content, now)) else 0.0

        /** How often requests of this entry for the same services that lack the content of [claim] met with a loss. */
        private fun lossRateWithout(claim: Claim): Double {
            val services = claim.losses.mapTo(HashSet()) { it.service }
            val others = recentLosses.filter { it.service in services && it !in claim.losses }
            val sends = uses.sendsWithout(claim.content, services, now)
            val rate = (others.sumOf { it.ownRuns } + 1.0) / (sends + ContentUses.FEW_SENDS)
            return rate.coerceIn(MIN_LOSS_RATE, MAX_LOSS_RATE)
        }
    }

    companion object {
        /** Two losses in common by chance are not rare while several upstreams are lost. */
        const val MIN_LOSSES = 3
        private const val MIN_LOSSES_OF_DOUBT = 2

        /**
         * What was sound recently, and a request that may be sent several times at once, is lost at several moments.
         */
        private const val MIN_MOMENTS = 2
        private const val SUFFICIENT = 5.5

        /** A part that was sound recently, while nothing that was sent after the losses has been answered. */
        private const val SUFFICIENT_UNANSWERED = 14.0
        private const val DOUBTFUL = 3.2
        private const val CLEAR_DIFFERENCE = 2.0

        /** A content that was sound becomes harmful as rarely as this, as a logarithm. */
        private const val TURNED_HARMFUL = 9.0

        /** Upstreams are back after a loss within this time. */
        private val MAX_RETURN_TIME = 4.seconds
        private const val MIN_SHARE = 0.05
        private const val MIN_LOSS_RATE = 0.01

        /** Losses at several moments are evidence even if other contents make upstreams crash at the same time. */
        private const val MAX_LOSS_RATE = 0.15

        /** One in so many losses may have had another cause than the narrower of two contents. */
        private const val LOSSES_PER_EXCEPTION = 4
    }
}
