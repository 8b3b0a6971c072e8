package io.mimosatrail.core.spread

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration

/** Largest change of the time until the next check, as a share of the check period. */
private const val CHECK_JITTER = 0.25

/**
 * Decides how one process learns of new configuration revisions and how it passes them on.
 *
 * The first [SpreadSettings.pushers] members of each place, ordered by a hash, are its ranked members. The first
 * [SpreadSettings.relays] of those that answer are the relays. Only relays watch the store, so the number of store
 * calls grows with the number of places rather than of processes.
 *
 * A ranked member notifies its whole place of a new revision; beyond the first [SpreadSettings.relays] it does so only
 * if the revision did not come from a ranked member of the place. In that case an unranked process notifies the ranked
 * members. Each process also checks a random neighbour once a period, so that revisions get past dead relays and into
 * places without a connection to the store.
 *
 * This class holds no content: the host fetches and applies it, and reports with [onAdvanced].
 */
class ConfigSpread(
    private val self: SpreadMember,
    private val random: Random,
    private val settings: SpreadSettings = SpreadSettings(),
) {
    private val store = StoreReadScheduler(settings, random)
    private val fetches = PeerFetches()
    private val contacts = ContactTracker(settings)
    private var currentMembers: List<SpreadMember> = emptyList()
    private var view = SpreadView(self, emptyList(), settings)
    private var nextFallbackRead: Moment? = null
    private var nextCheck = Moment(Long.MIN_VALUE)

    /** Revision in force in this process. */
    var revision: ConfigRevision = ConfigRevision(0)
        private set

    /** True if this process watches the store for its place. */
    var isRelay: Boolean = false
        private set

    /** True if there is a configuration, and the store or several peers answered since the start or the last pause. */
    fun isReady(now: Moment): Boolean =
        revision.value > 0 && !contacts.isPaused(now) && !isCutOff(now) && hasEnoughAnswers()

    /** True if the last contact with the store or any peer is longer ago than [SpreadSettings.contactTimeout]. */
    fun isCutOff(now: Moment): Boolean =
        contacts.timeSinceContact(now).let { it == null || it > settings.contactTimeout }

    /** Starts all work that is due at [now]. [members] is the newest list of live members. */
    fun onTick(now: Moment, members: List<SpreadMember>): List<SpreadEffect> {
        val resumed = contacts.onTick(now, store.reading)
        if (resumed) onResumed(now)
        if (members != currentMembers) updateMembers(members)
        return storeEffects(now, resumed) + checkEffects(now)
    }

    /** The host now has revision [next], which it got from [source], or from the store if [source] is null. */
    fun onAdvanced(next: ConfigRevision, source: InstanceId?): List<SpreadEffect> {
        check(next > revision) { "revision $next is not above the current revision $revision" }
        revision = next
        fetches.forgetUpTo(next)
        val recipients = recipients(source).filter { it != source && it != self.id }
        return if (recipients.isEmpty()) emptyList() else listOf(SpreadEffect.Notify(recipients))
    }

    /** A message from [from] said that it is at revision [seen]. */
    fun onPeerRevision(now: Moment, from: InstanceId, seen: ConfigRevision): List<SpreadEffect> {
        recordContact(now, from)
        return if (seen > revision) fetches.onAhead(from, seen, revision) else emptyList()
    }

    /** [from] answered a fetch. */
    fun onFetched(now: Moment, from: InstanceId): List<SpreadEffect> {
        recordContact(now, from)
        if (!fetches.takeOutdated(from)) contacts.onFetchEnded(answered = true)
        return fetches.onEnd(from, revision)
    }

    /** [from] did not answer a fetch. */
    fun onFetchFailed(from: InstanceId): List<SpreadEffect> {
        fetches.suspect(from)
        if (!fetches.takeOutdated(from)) contacts.onFetchEnded(answered = false)
        return fetches.onEnd(from, revision)
    }

    /** A read of the store ended. [succeeded] is true if it reached the end of the log. */
    fun onStoreRead(now: Moment, succeeded: Boolean): List<SpreadEffect> {
        if (succeeded) contacts.onContact(now)
        if (!succeeded && isRelay) store.scheduleRetry()
        contacts.onStoreRead(succeeded)
        return store.onRead(now, succeeded)
    }

    fun onWatchEnded(now: Moment, end: WatchEnd): List<SpreadEffect> {
        if (end != WatchEnd.FAILED) contacts.onContact(now)
        return store.onWatchEnded(now, end)
    }

    private fun hasEnoughAnswers() = contacts.hasEnoughAnswers(view.neighbours.size)

    /** Members to notify of a revision that came from [source], or from the store if [source] is null. */
    private fun recipients(source: InstanceId?): List<InstanceId> {
        val rank = view.rank
        val isSourceRanked = source in view.ranked
        return when {
            rank != null && (rank < settings.relays || !isSourceRanked) -> view.place
            rank == null && !isSourceRanked -> view.ranked
            else -> emptyList()
        }
    }

    private fun onResumed(now: Moment) {
        fetches.markRunningOutdated()
        nextCheck = now
    }

    private fun updateMembers(members: List<SpreadMember>) {
        currentMembers = members
        view = SpreadView(self, members, settings)
    }

    private fun storeEffects(now: Moment, resumed: Boolean): List<SpreadEffect> {
        val wasRelay = isRelay
        isRelay = !view.isEmpty && self.id in relays()
        return when {
            isRelay && (resumed || !wasRelay) -> store.read() + store.watch(now)
            isRelay -> store.retry(now) + store.watch(now)
            needsFallbackRead() -> fallbackRead(now)
            else -> emptyList()
        }
    }

    private fun relays(): List<InstanceId> = view.ranked.filterNot { fetches.isSuspect(it) }.take(settings.relays)

    private fun needsFallbackRead() = revision.value == 0L && !contacts.storeRead

    private fun fallbackRead(now: Moment): List<SpreadEffect> {
        val due = nextFallbackRead
        if (due != null && now < due) return emptyList()
        nextFallbackRead = now + settings.storeFallback + settings.storeFallbackJitter * random.nextDouble()
        return if (due == null) emptyList() else store.read()
    }

    private fun checkEffects(now: Moment): List<SpreadEffect> {
        if (now < nextCheck) return emptyList()
        nextCheck = now + jittered(if (hasEnoughAnswers()) settings.checkPeriod else settings.startCheckPeriod)
        return (neighboursToCheck() + relaysToProbe()).distinct().flatMap { fetches.fetch(it, revision) }
    }

    private fun neighboursToCheck(): List<InstanceId> = if (contacts.hasEnoughAnswers(view.neighbours.size)) {
        view.neighbours.shuffled(random).take(1)
    } else {
        (view.neighbours + view.ranked - self.id).distinct().shuffled(random).take(settings.startNeighbours)
    }

    /** A ranked member probes those ranked before it, so that it takes over the watch when a relay dies. */
    private fun relaysToProbe(): List<InstanceId> = view.rank?.let { view.ranked.take(it) }.orEmpty()

    private fun jittered(period: Duration) = period * (1 - CHECK_JITTER + 2 * CHECK_JITTER * random.nextDouble())

    private fun recordContact(now: Moment, from: InstanceId) {
        contacts.onContact(now)
        fetches.clearSuspicion(from)
    }
}
