package io.mimosatrail.core.quarantine

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** The losses of upstreams that this entry knows of, with the runs that were on them. */
internal class LossLedger {
    private val losses = LinkedHashMap<UpstreamCrash, UpstreamLoss>()
    private val byContent = HashMap<Content, LinkedHashSet<UpstreamLoss>>()
    private val inCommon = HashSet<Content>()
    private var nextPublished = 0

    val all: Collection<UpstreamLoss> get() = losses.values
    val isEmpty: Boolean get() = losses.isEmpty()

    /** On how many lost upstreams runs with [content] were. */
    fun count(content: Content): Int = byContent[content]?.size ?: 0

    /** The lost upstreams on which runs with [content] were, in the order in which this entry learned of them. */
    fun lossesUnder(content: Content): Collection<UpstreamLoss> = byContent[content].orEmpty()

    /** Contents that several losses have in common, those of the most first. */
    fun contentsInCommon(): List<Content> = inCommon.sortedByDescending(::count)

    /** Adds [run], which ended with [crash] at [at]. Returns true if anything is new. */
    fun add(crash: UpstreamCrash, at: Moment, run: LostRun, isConfirmed: Boolean, now: Moment): Boolean {
        if (crash !in losses && losses.size >= MAX_LOSSES) removeLeastUseful()
        val loss = losses.getOrPut(crash) { UpstreamLoss(crash, at) }
        val wasConfirmed = loss.isConfirmed
        loss.onSeen(at, isConfirmed, now)
        return addRun(loss, run) || loss.isConfirmed != wasConfirmed
    }

    /** Removes [crash]: the upstream has not been lost after all. Returns true if it was known. */
    fun remove(crash: UpstreamCrash): Boolean {
        val loss = losses.remove(crash) ?: return false
        for (content in loss.contents) {
            val others = byContent.getValue(content)
            others -= loss
            if (others.size <= 1) inCommon -= content
            if (others.isEmpty()) byContent -= content
        }
        return true
    }

    /** Removes what is too old, and upstreams that were silent and of which nothing has been reported since. */
    fun expire(now: Moment): Boolean {
        val obsolete = losses.values.filter { loss ->
            now - loss.at > EVIDENCE_TIME || (!loss.isConfirmed && now - loss.lastReportedAt > SILENCE_TIME)
        }
        obsolete.forEach { remove(it.crash) }
        return obsolete.isNotEmpty()
    }

    /**
     * What other entries should learn: a run with each of [contents] on each upstream that was lost under it, so that
     * entries that restarted learn of them, and the own runs of the last seconds, in turn if they don't fit. Only those
     * that observe that an upstream is silent report it, as nobody else learns when it responds.
     */
    fun published(contents: List<Content>, now: Moment): List<ReportedRun> {
        val chosen = LinkedHashSet<Pair<UpstreamLoss, LostRun>>()
        for (content in contents) {
            if (chosen.size >= MAX_PUBLISHED / 2) break
            lossesUnder(content).toList().takeLast(MAX_LOSSES_OF_CONTENT)
                .flatMapTo(chosen) { loss ->
                    loss.runsWith(content).filter { loss.isConfirmed || it.isOwn }.take(1).map { loss to it }
                }
        }
        val own = losses.values.filter { now - it.lastReportedAt <= PUBLISH_TIME }
            .flatMap { loss -> loss.runs.filter { it.isOwn && now - it.addedAt <= PUBLISH_TIME }.map { loss to it } }
            .filterNot { it in chosen }
        val room = minOf(MAX_PUBLISHED - chosen.size, own.size)
        if (own.isNotEmpty()) nextPublished = (nextPublished + room) % own.size
        repeat(room) { chosen += own[(nextPublished + it) % own.size] }
        return chosen.map { (loss, run) -> report(loss, run, now) }
    }

    private fun report(loss: UpstreamLoss, run: LostRun, now: Moment) = ReportedRun(
        run.request,
        run.parts.map { it.id },
        run.service,
        loss.crash,
        (now - run.sentAt).inWholeMilliseconds,
        (now - loss.at).inWholeMilliseconds,
        !loss.isConfirmed,
    )

    private fun addRun(loss: UpstreamLoss, run: LostRun): Boolean {
        val known = loss[run.request]
        val isNew = if (known == null) loss.runs.size < MAX_RUNS else known.lacks(run)
        if (!isNew) return false
        loss.put(if (known == null) run else merge(known, run))
        for (content in run.contents) {
            val losses = byContent.getOrPut(content) { LinkedHashSet() }
            losses += loss
            if (losses.size > 1) inCommon += content
        }
        return true
    }

    private fun LostRun.lacks(other: LostRun): Boolean = (other.isOwn && !isOwn) || !parts.containsAll(other.parts)

    private fun merge(known: LostRun, run: LostRun) = LostRun(
        known.request,
        known.parts + run.parts,
        known.service,
        known.sentAt,
        known.isOwn || run.isOwn,
        known.addedAt,
    )

    /** Removes the oldest loss that has nothing in common with others, or the oldest one. */
    private fun removeLeastUseful() {
        val least = losses.values.firstOrNull { loss -> loss.contents.all { count(it) <= 1 } } ?: losses.values.first()
        remove(least.crash)
    }

    companion object {
        val EVIDENCE_TIME: Duration = 5.minutes

        /** Several messages are sent to each entry within this time, so that the loss of one has no effect. */
        val PUBLISH_TIME: Duration = 5.seconds

        /** Entries report that an upstream is silent until it responds or has been lost. */
        private val SILENCE_TIME: Duration = 6.seconds
        private const val MAX_LOSSES = 128
        private const val MAX_RUNS = 64

        /** Runs in one message, which has to fit into a datagram. */
        private const val MAX_PUBLISHED = 64
        private const val MAX_LOSSES_OF_CONTENT = 16
    }
}

/** An age that another entry reported, within the time for which evidence is kept. */
internal fun reportedAge(millis: Long): Duration = millis.milliseconds.coerceIn(Duration.ZERO, LossLedger.EVIDENCE_TIME)
