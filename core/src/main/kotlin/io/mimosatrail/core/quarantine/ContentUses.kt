package io.mimosatrail.core.quarantine

import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How often contents were sent recently, and how often and when upstreams survived them, here and at other entries. */
internal class ContentUses {
    private class Use {
        val sent = RecentCount()
        val survived = RecentCount()
        var lastSurvivor: Moment? = null
    }

    /** The largest counts that one of the other entries has reported, and the latest time that any has. */
    private class ElsewhereUse(var sent: Int = 0, var survived: Int = 0, var lastSurvivor: Moment? = null)

    private val parts = RecentMap<Content, Use>(MAX_PARTS)
    private val requests = RecentMap<Content, Use>(MAX_REQUESTS)
    private val elsewhere = RecentMap<Content, ElsewhereUse>(MAX_ELSEWHERE)
    private val allSent = RecentCount()
    private val sentTo = HashMap<ServiceId?, RecentCount>()

    /** Records that this entry sends a request for [service] with [contents] for the first time. */
    fun onSent(contents: List<Content>, service: ServiceId?, now: Moment) {
        allSent.add(now)
        sentTo.getOrPut(service) { RecentCount() }.add(now)
        contents.forEach { use(it).sent.add(now) }
    }

    /** Records at [now] that an upstream survived a run with [content], which shows that it was sound at [at]. */
    fun onSurvived(content: Content, at: Moment, now: Moment) {
        val use = use(content)
        use.survived.add(now)
        use.lastSurvivor = maxOf(use.lastSurvivor ?: at, at)
    }

    /** Records the [report] of another entry. Returns when the content was sound last, according to it. */
    fun onReport(content: Content, report: ReportedUse, now: Moment): Moment? {
        val use = elsewhere.getOrPut(content) { ElsewhereUse() }
        use.sent = maxOf(use.sent, report.sent)
        use.survived = maxOf(use.survived, report.survived)
        val age = report.survivedMillisAgo ?: return null
        val at = now - age.milliseconds.coerceIn(Duration.ZERO, LossLedger.EVIDENCE_TIME)
        use.lastSurvivor = maxOf(use.lastSurvivor ?: at, at)
        return at
    }

    /** What this entry reports of [content] to others, or null if it has not used it. */
    fun reportOf(content: Content, now: Moment): ReportedUse? {
        val use = known(content) ?: return null
        val last = use.lastSurvivor?.takeIf { now - it < RecentCount.WINDOW }
        return ReportedUse(
            content.toString(),
            use.sent.value(now),
            use.survived.value(now),
            last?.let { (now - it).inWholeMilliseconds },
        )
    }

    /** The latest moment at which [content] is known to have been sound; null if there is none. */
    fun lastSurvivor(content: Content): Moment? =
        listOfNotNull(known(content)?.lastSurvivor, elsewhere[content]?.lastSurvivor).maxOrNull()

    /** True if upstreams survived [content] recently. */
    fun hasSurvivedRecently(content: Content, now: Moment): Boolean =
        lastSurvivor(content)?.let { now - it < RecentCount.WINDOW } ?: false

    /**
     * How many runs with [content] upstreams survived recently, as far as known: here or at the entry with the most.
     */
    fun survivors(content: Content, now: Moment): Int =
        maxOf(known(content)?.survived?.value(now) ?: 0, elsewhere[content]?.survived ?: 0)

    /** How many requests with [content] the entry with the most of them has sent recently. */
    fun sends(content: Content, now: Moment): Int = maxOf(ownSends(content, now), elsewhere[content]?.sent ?: 0)

    /** How many requests for [services] without [content] this entry has sent recently. */
    fun sendsWithout(content: Content, services: Set<ServiceId?>, now: Moment): Int {
        val all = services.sumOf { sentTo[it]?.value(now) ?: 0 }
        return (all - ownSends(content, now)).coerceAtLeast(0)
    }

    /** Share of the recent requests of this entry that have [content], of which it may have sent few. */
    fun share(content: Content, now: Moment): Double = (ownSends(content, now) + 1.0) / (allSent.value(now) + FEW_SENDS)

    /** True if a large share of the requests of this entry has [content]. */
    fun isCommon(content: Content, now: Moment): Boolean = ownSends(content, now) > allSent.value(now) * COMMON_SHARE

    private fun ownSends(content: Content, now: Moment): Int = known(content)?.sent?.value(now) ?: 0

    private fun known(content: Content): Use? = usesLike(content)[content]

    private fun use(content: Content): Use = usesLike(content).getOrPut(content) { Use() }

    private fun usesLike(content: Content): RecentMap<Content, Use> = when (content) {
        is Content.Part -> parts
        is Content.Request -> requests
    }

    companion object {
        /** With fewer requests than this, shares and rates say little. */
        const val FEW_SENDS = 20
        private const val COMMON_SHARE = 0.25
        private const val MAX_PARTS = 4_096
        private const val MAX_REQUESTS = 4_096
        private const val MAX_ELSEWHERE = 256
    }
}
