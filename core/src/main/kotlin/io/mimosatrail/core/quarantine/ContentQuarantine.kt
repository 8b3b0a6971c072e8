package io.mimosatrail.core.quarantine

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** A request that is sent after a loss is under way within this time, unless its upstream crashes. */
internal val PROGRESS_TIME = 700.milliseconds

/** Why the content of a request may not reach another upstream. */
sealed interface ContentObstacle {
    /** Upstreams crashed under requests of [pattern], which are refused for another [remaining]. */
    data class Refused(val pattern: RequestPattern, val remaining: Duration) : ContentObstacle

    /** Upstreams crashed under this request or under others like it, which is to be confirmed by other entries. */
    data object Suspected : ContentObstacle

    /** Upstreams were lost under this request, maybe by chance: it may be sent, but only once at a time. */
    data object OnTrial : ContentObstacle
}

/**
 * A request with [content] was sent at [sentAt] to an upstream that was lost at [crashedAt], before it had answered.
 * [isUnderWay] is true if it was a stream that had been going on for some time. Nothing else clears the parts of its
 * prompt: an upstream that crashes as it begins an answer may take the first bytes with it.
 */
class BrokenRun(val content: RequestContent, val sentAt: Moment, val crashedAt: Moment, val isUnderWay: Boolean)

/** What the periodic update of a [ContentQuarantine] found, or the report of another entry brought. */
class QuarantineUpdate(val refused: List<RequestPattern>) {
    val isEmpty: Boolean get() = refused.isEmpty()
}

/**
 * Decides whether the content of a request may reach another upstream, by what happened to the upstreams that received
 * it before: the same request again, or others whose prompts share a part with it. To be asked before every send of a
 * request, the first and each later one.
 *
 * Entries share what they observe, since one sees only a fraction of the losses and answers. Before anything is
 * refused, the others have [objectionTime] to report what they know of it. A refusal ends after [REFUSAL_TIME], if the
 * content turns out to be sound, or if another one explains the losses. Not thread-safe.
 */
class ContentQuarantine(private val objectionTime: () -> Duration = { 800.milliseconds }) {
    private val uses = ContentUses()
    private val ledger = LossLedger()
    private val weighing = CrashWeighing(uses)
    private val refusals = ContentRefusals(uses)

    /** Upstreams that this entry took for lost and that have responded since. */
    private val returned = RecentMap<UpstreamCrash, Moment>(MAX_RETURNED)

    /** The verdict on all that is known so far. */
    private var preliminary = CrashVerdict()
    private var isOutdated = false

    /** When the evidence changed last, as long as the verdict on what is settled of it may still change. */
    private var changedAt: Moment? = null
    private var weighedAt: Moment? = null
    private var reports = 0

    /**
     * Why [content] may not be sent, or null if it may. [isRepeat] if this entry has sent it and it may have run; only
     * then are other requests with the same parts of a prompt a reason to suspect it.
     */
    fun obstacle(content: RequestContent, isRepeat: Boolean, now: Moment): ContentObstacle? {
        if (ledger.isEmpty && refusals.isEmpty) return null
        val contents = content.contents
        refusals.find(contents, now)?.let { (pattern, remaining) -> return ContentObstacle.Refused(pattern, remaining) }
        if (contents.all { ledger.count(it) == 0 }) return null
        if (isOutdated) weighPreliminarily(now)
        val request = contents.last()
        return when {
            preliminary.causes.any { it.pattern == RequestPattern(request) } -> ContentObstacle.Suspected
            isRepeat && isDoubtful(contents) -> ContentObstacle.Suspected
            request in preliminary.undecided -> ContentObstacle.OnTrial
            else -> null
        }
    }

    /** True if an upstream was lost under this request, which has not been answered since. */
    fun hasCrashed(content: RequestContent): Boolean {
        if (ledger.isEmpty) return false
        val request = Content.Request(content.fingerprint())
        val soundAt = uses.lastSurvivor(request)
        return ledger.lossesUnder(request).any { soundAt == null || soundAt < it.at }
    }

    /** Records that a request is sent to an upstream for the first time. */
    fun onSent(content: RequestContent, now: Moment) = uses.onSent(content.knownContents, content.service, now)

    /** Records that the upstream has survived the beginning of its answer to a request that was sent at [sentAt]. */
    fun onUnderWay(content: RequestContent, sentAt: Moment, now: Moment) {
        content.parts.forEach { onSurvived(it, sentAt, now) }
        ledger.all.forEach { it.onSurvived(sentAt, now) }
    }

    /**
     * Records an answer to a request that was sent at [sentAt]. A part of its prompt may have become harmful since, but
     * the request itself is sound now.
     */
    fun onAnswered(content: RequestContent, result: AnswerResult, sentAt: Moment, now: Moment) {
        if (result == AnswerResult.FAILED) return
        if (result == AnswerResult.SUCCESS) onUnderWay(content, sentAt, now)
        content.knownFingerprint?.let { onSurvived(Content.Request(it), now, now) }
    }

    /**
     * Records the [runs] that this entry saw end with [crash]. It is no evidence for a refusal until it [isConfirmed]:
     * an upstream that is only silent may go on.
     */
    fun onCrash(crash: UpstreamCrash, runs: List<BrokenRun>, now: Moment, isConfirmed: Boolean = true) {
        for (run in runs) {
            val parts = if (run.isUnderWay) emptySet() else run.content.parts.toSet()
            val lost = LostRun(run.content.fingerprint(), parts, run.content.service, run.sentAt, isOwn = true, now)
            add(crash, run.crashedAt, lost, isConfirmed, now)
        }
    }

    /** Records that the upstream of [crash] responds: it has not been lost. */
    fun onReturned(crash: UpstreamCrash, now: Moment) {
        returned[crash] = now
        if (ledger.remove(crash)) onChanged(now)
        refusals.onReturned(crash)
    }

    /** Applies the report of another entry. Returns what it refuses and this one did not. */
    fun onReport(report: QuarantineReport, now: Moment): QuarantineUpdate {
        for (use in report.uses) {
            val content = Content.parse(use.content)
            val known = uses.lastSurvivor(content)
            uses.onReport(content, use, now)?.let { onSound(content, known, it, now) }
        }
        for (run in report.runs.filter { it.crash !in returned }) {
            val parts = run.parts.mapTo(LinkedHashSet()) { Content.Part(it) }
            val lost =
                LostRun(run.request, parts, run.service, now - reportedAge(run.sentMillisAgo), isOwn = false, now)
            add(run.crash, now - reportedAge(run.lostMillisAgo), lost, !run.isOnlySilent, now)
        }
        val added = report.refused.filter { refusals.onReport(it, now) }.map { RequestPattern.parse(it.pattern) }
        refusals.update(now)
        return QuarantineUpdate(added.filter { isRefused(it, now) })
    }

    /** Finds what is to be refused from now on. To be called periodically; weighs at most every [WEIGHING_INTERVAL]. */
    fun update(now: Moment): QuarantineUpdate {
        if (weighedAt?.let { now - it < WEIGHING_INTERVAL } ?: false) return QuarantineUpdate(emptyList())
        weighedAt = now
        if (ledger.expire(now)) onChanged(now)
        if (isOutdated) weighPreliminarily(now)
        val added = refuseSettled(now)
        refusals.update(now)
        return QuarantineUpdate(added.filter { isRefused(it, now) })
    }

    /** Refuses what was refused before a restart. */
    fun restore(patterns: List<RequestPattern>, now: Moment) = refusals.restore(patterns, now)

    /** True if requests of [pattern] are refused. */
    fun isRefused(pattern: RequestPattern, now: Moment): Boolean = refusals.find(pattern.contents.toList(), now) != null

    /**
     * What the other entries should learn from this one. Evidence that has not changed for some time is repeated in
     * some of the reports only, for entries that have restarted.
     */
    fun report(now: Moment): QuarantineReport {
        val isRepeated = reports++ % REPORTS_PER_REPETITION == 0 || changedAt?.let { now - it < NEWS_TIME } ?: false
        val contents = if (isRepeated) ledger.contentsInCommon().take(MAX_REPORTED_CONTENTS) else emptyList()
        return QuarantineReport(
            ledger.published(contents, now),
            contents.mapNotNull { uses.reportOf(it, now) },
            refusals.report(now),
        )
    }

    private fun refuseSettled(now: Moment): List<RequestPattern> {
        val since = changedAt ?: return emptyList()
        if (now - since > objectionTime() + MAX_SETTLING_TIME) changedAt = null
        if (preliminary.causes.isEmpty()) return emptyList()
        val causes = weighing.settled(ledger, refusals.patterns, objectionTime(), now).causes
        return causes.filter { refusals.add(it, now) }.map { it.pattern }
    }

    private fun add(crash: UpstreamCrash, at: Moment, run: LostRun, isConfirmed: Boolean, now: Moment) {
        if (ledger.add(crash, at, run, isConfirmed, now)) onChanged(now)
    }

    private fun onSurvived(content: Content, at: Moment, now: Moment) {
        val known = uses.lastSurvivor(content)
        uses.onSurvived(content, at, now)
        onSound(content, known, at, now)
    }

    /** [content] was sound at [at]; before, it was known to have been so at [knownAt]. */
    private fun onSound(content: Content, knownAt: Moment?, at: Moment, now: Moment) {
        refusals.onSurvived(content, at)
        val isNews = knownAt == null || at > knownAt
        if (isNews && ledger.lossesUnder(content).any { knownAt == null || knownAt < it.at }) onChanged(now)
    }

    private fun onChanged(now: Moment) {
        isOutdated = true
        changedAt = now
    }

    private fun isDoubtful(contents: List<Content>): Boolean = contents.any { it in preliminary.doubtful } ||
        preliminary.causes.any { contents.containsAll(it.pattern.contents) }

    private fun weighPreliminarily(now: Moment) {
        preliminary = weighing.preliminary(ledger, refusals.patterns, now)
        isOutdated = false
    }

    companion object {
        /** Time for which requests are refused. */
        val REFUSAL_TIME: Duration = 10.minutes
        private val WEIGHING_INTERVAL = 100.milliseconds

        /** Evidence is settled some time after this and the time for objections. */
        private val MAX_SETTLING_TIME = 5.seconds

        /** Several messages are sent to each entry within this time, so that the loss of one has no effect. */
        private val NEWS_TIME = 5.seconds
        private const val REPORTS_PER_REPETITION = 4
        private const val MAX_REPORTED_CONTENTS = 64
        private const val MAX_RETURNED = 256
    }
}
