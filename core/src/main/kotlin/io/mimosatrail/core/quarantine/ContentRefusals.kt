package io.mimosatrail.core.quarantine

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The requests that are refused since upstreams crash under them. */
internal class ContentRefusals(private val uses: ContentUses) {
    private class Refusal(
        val contents: Set<Content>,
        val until: Moment,
        val since: Moment,
        val lostAt: Moment,
        val crashes: Set<UpstreamCrash>,
    )

    /** By the pattern under which each began; contents that turned out to be sound are removed from a refusal later. */
    private val refusals = RecentMap<RequestPattern, Refusal>(MAX_REFUSED)

    /** Patterns whose refusal others have ended by explaining the losses. */
    private val exonerated = RecentMap<RequestPattern, Moment>(MAX_REFUSED)

    /** The patterns of all refused requests. */
    val patterns: List<RequestPattern> get() = refusals.entries.map { RequestPattern(it.value.contents) }
    val isEmpty: Boolean get() = refusals.keys.isEmpty()

    /** The pattern of a refused request with [contents], and the time for which it is still refused; null if none. */
    fun find(contents: List<Content>, now: Moment): Pair<RequestPattern, Duration>? =
        refusals.entries.firstOrNull { now < it.value.until && contents.containsAll(it.value.contents) }
            ?.let { RequestPattern(it.value.contents) to it.value.until - now }

    /** Refuses what [cause] accounts for. Returns true if that is new. */
    fun add(cause: CrashCause, now: Moment): Boolean {
        val isNew = cause.pattern !in refusals
        val known = refusals[cause.pattern]
        val crashes = cause.losses.mapTo(HashSet()) { it.crash }
        val until = known?.until ?: (now + ContentQuarantine.REFUSAL_TIME)
        val lostAt = cause.losses.maxOf { it.at }
        refusals[cause.pattern] = Refusal(cause.pattern.contents, until, known?.since ?: now, lostAt, crashes)
        return isNew
    }

    /** Refuses [patterns], which were refused before a restart. */
    fun restore(patterns: List<RequestPattern>, now: Moment) = patterns.forEach {
        refusals[it] =
            Refusal(it.contents, now + ContentQuarantine.REFUSAL_TIME, now, now, emptySet())
    }

    /** Refuses what another entry refuses, unless this one knows better. Returns true if that is new. */
    fun onReport(reported: ReportedRefusal, now: Moment): Boolean {
        val pattern = RequestPattern.parse(reported.pattern)
        val lostAt = now - reportedAge(reported.lostMillisAgo)
        val remaining = reported.remainingMillis.milliseconds.coerceIn(Duration.ZERO, ContentQuarantine.REFUSAL_TIME)
        val isOver = remaining == Duration.ZERO || pattern in exonerated
        if (pattern in refusals || isOver) return false
        val contents = pattern.contents.filterNotTo(HashSet()) { isSound(it, lostAt, now) }
        if (contents.isEmpty()) return false
        val crashes = reported.crashes.take(MAX_CRASHES).toSet()
        refusals[pattern] = Refusal(contents, now + remaining, now, lostAt, crashes)
        return true
    }

    /** Ends what was held against [content] until [soundAt]. */
    fun onSurvived(content: Content, soundAt: Moment) {
        for ((pattern, refusal) in refusals.entries.filter {
            content in it.value.contents && it.value.lostAt < soundAt
        }) {
            val rest = refusal.contents - content
            if (rest.isEmpty()) {
                refusals -= pattern
            } else {
                refusals[pattern] = Refusal(rest, refusal.until, refusal.since, refusal.lostAt, refusal.crashes)
            }
        }
    }

    /** Ends refusals that were based on [crash], which was none, if too little is left of their evidence. */
    fun onReturned(crash: UpstreamCrash) {
        for ((pattern, refusal) in refusals.entries.filter { crash in it.value.crashes }) {
            val rest = refusal.crashes - crash
            if (rest.size < CrashWeighing.MIN_LOSSES) {
                refusals -= pattern
            } else {
                refusals[pattern] = Refusal(refusal.contents, refusal.until, refusal.since, refusal.lostAt, rest)
            }
        }
    }

    /** Ends the refusals that are over, and those whose losses others account for, which account for more. */
    fun update(now: Moment) {
        refusals.removeIf { now >= it.until }
        exonerated.removeIf { now - it > LossLedger.PUBLISH_TIME }
        val innocent = refusals.entries.filter { (_, refusal) ->
            refusals.entries.any { refusal.isExplainedBy(it.value) }
        }.map { it.key }
        innocent.forEach {
            refusals -= it
            exonerated[it] = now
        }
    }

    fun report(now: Moment): List<ReportedRefusal> = refusals.entries.map { (_, refusal) ->
        val crashes = if (now - refusal.since <= LossLedger.PUBLISH_TIME) refusal.crashes.toList() else emptyList()
        ReportedRefusal(
            RequestPattern(refusal.contents).toString(),
            (refusal.until - now).inWholeMilliseconds,
            (now - refusal.lostAt).inWholeMilliseconds,
            crashes.take(MAX_CRASHES),
        )
    }

    private fun Refusal.isExplainedBy(other: Refusal): Boolean = crashes.isNotEmpty() &&
        other.crashes.size > crashes.size &&
        (crashes - other.crashes).size < CrashWeighing.MIN_LOSSES

    /**
     * True if [content] has been sound since [lostAt], or if that can't be told as nearly all requests here have it.
     */
    private fun isSound(content: Content, lostAt: Moment, now: Moment): Boolean {
        val last = uses.lastSurvivor(content) ?: return false
        return last > lostAt ||
            (content is Content.Part && uses.hasSurvivedRecently(content, now) && uses.isCommon(content, now))
    }

    private companion object {
        const val MAX_REFUSED = 64
        const val MAX_CRASHES = 16
    }
}
