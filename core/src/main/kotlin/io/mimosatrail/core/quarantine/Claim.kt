package io.mimosatrail.core.quarantine

import kotlin.time.Duration

/** The losses that [content] may explain, with the runs that had it. */
internal class Claim(val content: Content) {
    private val runs = LinkedHashMap<UpstreamLoss, MutableList<LostRun>>()
    val losses: Set<UpstreamLoss> get() = runs.keys
    val size: Int get() = runs.size

    /** How long requests with the content ran before their upstreams were lost, in the mean. */
    private val meanRunTime: Duration
        get() = runs.entries.fold(Duration.ZERO) { sum, (loss, runs) -> sum + runs.minOf { loss.at - it.sentAt } } /
            size

    fun add(loss: UpstreamLoss, run: LostRun) {
        runs.getOrPut(loss) { mutableListOf() } += run
    }

    /** This claim without [explained], or null if too little of it is left to matter. */
    fun without(explained: Set<UpstreamLoss>): Claim? {
        val rest = Claim(content)
        runs.filterKeys { it !in explained }.forEach { (loss, runs) -> rest.runs[loss] = runs }
        return rest.takeIf { it.size > 1 }
    }

    /** Number of upstreams of [group] that were lost under different requests with the content. */
    fun independentRuns(group: List<UpstreamLoss>): Int {
        val requests = group.flatMapTo(HashSet()) { loss -> runs.getValue(loss).map { it.request } }
        return minOf(group.size, requests.size)
    }

    /** True if each run of this claim has the content of [other], some of whose runs don't have the content of this. */
    fun isNarrowerThan(other: Claim): Boolean = size <= other.size && isWithin(other) && !other.isWithin(this)

    /** True if one of both contents occurs only together with the other one. */
    fun isRelatedTo(other: Claim): Boolean = isWithin(other) || other.isWithin(this)

    /** True if the runs with the content are those with the content of [other]. */
    fun hasSameRunsAs(other: Claim): Boolean = size == other.size && isWithin(other) && other.isWithin(this)

    /**
     * True if a request is as likely as that of [other], under which the same upstreams were lost. Once they are many,
     * the time counts for which they ran before.
     */
    fun isRivalOf(other: Claim): Boolean = when {
        content::class != other.content::class -> false
        content is Content.Part || size < MANY_LOSSES -> true
        else -> meanRunTime <= other.meanRunTime
    }

    private fun isWithin(other: Claim): Boolean = runs.values.all { list -> list.all { other.content in it } }

    private companion object {
        /** A caller that repeats an innocent request has rarely met with as many losses before it gives up. */
        const val MANY_LOSSES = 8
    }
}
