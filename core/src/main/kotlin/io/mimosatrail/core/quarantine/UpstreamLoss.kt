package io.mimosatrail.core.quarantine

import io.mimosatrail.core.id.RequestFingerprint
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds

/**
 * A run of [request] for [service] that was sent at [sentAt] and ended with the loss of its upstream. [parts] are the
 * parts of its prompt that may have caused that: none if the answer was well under way. It [isOwn] if this entry
 * observed it; [addedAt] is when this entry learned of it.
 */
internal class LostRun(
    val request: RequestFingerprint,
    val parts: Set<Content.Part>,
    val service: ServiceId?,
    val sentAt: Moment,
    val isOwn: Boolean,
    val addedAt: Moment,
) {
    val contents: Set<Content> = parts + Content.Request(request)

    operator fun contains(content: Content): Boolean = content in contents

    /** True if the run has all of [all]. */
    operator fun contains(all: Set<Content>): Boolean = contents.containsAll(all)
}

/** The loss of an upstream with the runs that were on it, by request. */
internal class UpstreamLoss(val crash: UpstreamCrash, at: Moment) {
    /** When it happened, as the first of all observers saw it; others may have been late. */
    var at: Moment = at
        private set

    /** False as long as the upstream is only silent, and may go on. */
    var isConfirmed = false
        private set

    /** When the upstream was last reported, by this or another entry. */
    var lastReportedAt: Moment = at
        private set
    private val byRequest = LinkedHashMap<RequestFingerprint, LostRun>()
    private val byContent = HashMap<Content, MutableList<LostRun>>()

    /** The service of the upstream, as far as it is known. */
    val service: ServiceId? get() = runs.firstNotNullOfOrNull { it.service }

    /** The runs, one for each request. */
    val runs: Collection<LostRun> get() = byRequest.values

    /** All that any of the runs may have in common with others. */
    val contents: Set<Content> get() = byContent.keys

    /** When this entry first learned that an upstream survived a run that was sent after the loss; null before. */
    var answeredSince: Moment? = null
        private set

    /** Records that an upstream survived a run that was sent at [sentAt]. */
    fun onSurvived(sentAt: Moment, now: Moment) {
        if (answeredSince == null && sentAt > at) answeredSince = now
    }

    /** Number of the runs that this entry observed. */
    var ownRuns = 0
        private set

    operator fun get(request: RequestFingerprint): LostRun? = byRequest[request]

    /** Adds [run], or replaces the one of the same request. */
    fun put(run: LostRun) {
        val replaced = byRequest.put(run.request, run)
        if (replaced != null) byContent.values.forEach { it -= replaced }
        if (run.isOwn) ownRuns++
        if (replaced?.isOwn == true) ownRuns--
        run.contents.forEach { byContent.getOrPut(it) { mutableListOf() } += run }
    }

    /** The runs that have [content] in common. */
    fun runsWith(content: Content): List<LostRun> = byContent[content].orEmpty()

    /** Records that an observer saw it at [seenAt]. */
    fun onSeen(seenAt: Moment, isConfirmedThere: Boolean, now: Moment) {
        at = minOf(at, seenAt)
        isConfirmed = isConfirmed || isConfirmedThere
        lastReportedAt = now
    }
}

/** Upstreams that are lost for one reason, such as a loss of power, end within this time of each other. */
private val TOGETHER = 60.milliseconds

/** The losses in groups, of which each begins clearly after the one before. */
internal fun Collection<UpstreamLoss>.byMoment(): List<List<UpstreamLoss>> {
    val groups = mutableListOf<MutableList<UpstreamLoss>>()
    for (loss in sortedBy { it.at }) {
        val group = groups.lastOrNull()
        if (group != null && loss.at - group.first().at < TOGETHER) group += loss else groups += mutableListOf(loss)
    }
    return groups
}
