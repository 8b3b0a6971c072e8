package io.mimosatrail.core.spread

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration

/** Share of the check period by which each check is earlier or later. */
private const val CHECK_JITTER = 0.25

/**
 * Decides how one process comes by new revisions and how it passes them on.
 *
 * The first processes of each place watch the store, so that store calls grow with places. Whoever of the first ranks
 * comes by a new revision tells its whole place; anybody else who finds one at a neighbour tells the first ranks. Each
 * process checks a random neighbour once a period, which carries revisions past dead relays and cut places. It holds
 * no content: the host fetches, applies and reports with [onAdvanced].
 */
class ConfigSpread(
    private val self: SpreadMember,
    private val random: Random,
    private val settings: SpreadSettings = SpreadSettings(),
) {
    private val store = StoreFollow(settings, random)
    private val asks = PeerAsks()
    private val heard = SourcesHeard(settings)
    private var listed: List<SpreadMember> = emptyList()
    private var view = SpreadView(self, emptyList(), settings)
    private var storeFallback: Moment? = null
    private var nextCheck = Moment(Long.MIN_VALUE)

    /** What is in force in this process. */
    var revision: ConfigRevision = ConfigRevision(0)
        private set

    /** True where this process watches the store for its place. */
    var isRelay: Boolean = false
        private set

    /** True with configuration once the store or several peers were heard since the start or a pause. */
    fun isReady(now: Moment): Boolean = revision.value > 0 && !heard.isPaused(now) && !isCutOff(now) && isHeardEnough()

    /** True where neither the store nor any peer was heard for the bound of the settings. */
    fun isCutOff(now: Moment): Boolean = heard.silence(now).let { it == null || it > settings.contactBound }

    /** Runs everything that is due; [members] is the newest live list. */
    fun onTick(now: Moment, members: List<SpreadMember>): List<SpreadEffect> {
        val woke = heard.onTick(now, store.reading)
        if (woke) wake(now)
        if (members != listed) relist(members)
        return storeWork(now, woke) + checks(now)
    }

    /** The host has advanced to [next], which [source] gave; null for the store. */
    fun onAdvanced(next: ConfigRevision, source: InstanceId?): List<SpreadEffect> {
        check(next > revision) { "revision $next came after $revision" }
        revision = next
        asks.forgetUpTo(next)
        val told = audience(source).filter { it != source && it != self.id }
        return if (told.isEmpty()) emptyList() else listOf(SpreadEffect.Notify(told))
    }

    /** A message of [from] carried [seen]. */
    fun onSeen(now: Moment, from: InstanceId, seen: ConfigRevision): List<SpreadEffect> {
        hear(now, from)
        return if (seen > revision) asks.onAhead(from, seen, revision) else emptyList()
    }

    /** [from] answered a fetch. */
    fun onFetched(now: Moment, from: InstanceId): List<SpreadEffect> {
        hear(now, from)
        if (!asks.takeOutdated(from)) heard.onPeerEnd(answered = true)
        return asks.onEnd(from, revision)
    }

    /** [from] did not answer a fetch. */
    fun onFetchFailed(from: InstanceId): List<SpreadEffect> {
        asks.suspect(from)
        if (!asks.takeOutdated(from)) heard.onPeerEnd(answered = false)
        return asks.onEnd(from, revision)
    }

    /** A read of the store ended; [succeeded] where it reached the end of the log. */
    fun onStoreRead(now: Moment, succeeded: Boolean): List<SpreadEffect> {
        if (succeeded) heard.onContact(now)
        if (!succeeded && isRelay) store.owe()
        heard.onStoreRead(succeeded)
        return store.onRead(now, succeeded)
    }

    fun onWatchEnded(now: Moment, end: WatchEnd): List<SpreadEffect> {
        if (end != WatchEnd.FAILED) heard.onContact(now)
        return store.onWatchEnded(now, end)
    }

    private fun isHeardEnough() = heard.isEnough(view.neighbours.size)

    /** Whom to tell of a revision that [source] gave. */
    private fun audience(source: InstanceId?): List<InstanceId> {
        val rank = view.rank
        val known = source in view.ranked
        return when {
            rank != null && (rank < settings.relays || !known) -> view.place
            rank == null && !known -> view.ranked
            else -> emptyList()
        }
    }

    private fun wake(now: Moment) {
        asks.outdate()
        nextCheck = now
    }

    private fun relist(members: List<SpreadMember>) {
        listed = members
        view = SpreadView(self, members, settings)
    }

    private fun storeWork(now: Moment, woke: Boolean): List<SpreadEffect> {
        val was = isRelay
        isRelay = !view.unknown && self.id in watchers()
        return when {
            isRelay && (woke || !was) -> store.read() + store.watch(now)
            isRelay -> store.retry(now) + store.watch(now)
            isWithoutConfiguration() -> fallback(now)
            else -> emptyList()
        }
    }

    private fun watchers(): List<InstanceId> = view.ranked.filterNot { asks.isSuspect(it) }.take(settings.relays)

    private fun isWithoutConfiguration() = revision.value == 0L && !heard.storeRead

    private fun fallback(now: Moment): List<SpreadEffect> {
        val due = storeFallback
        if (due != null && now < due) return emptyList()
        storeFallback = now + settings.storeFallback + settings.storeFallbackJitter * random.nextDouble()
        return if (due == null) emptyList() else store.read()
    }

    private fun checks(now: Moment): List<SpreadEffect> {
        if (now < nextCheck) return emptyList()
        nextCheck = now + jittered(if (isHeardEnough()) settings.checkPeriod else settings.startCheckPeriod)
        return (neighboursToCheck() + relaysToProbe()).distinct().flatMap { asks.ask(it, revision) }
    }

    private fun neighboursToCheck(): List<InstanceId> = if (heard.isEnough(view.neighbours.size)) {
        view.neighbours.shuffled(random).take(1)
    } else {
        (view.neighbours + view.ranked - self.id).distinct().shuffled(random).take(settings.startNeighbours)
    }

    /** The ranks behind the relays probe those before them, to take over the watch. */
    private fun relaysToProbe(): List<InstanceId> = view.rank?.let { view.ranked.take(it) }.orEmpty()

    private fun jittered(period: Duration) = period * (1 - CHECK_JITTER + 2 * CHECK_JITTER * random.nextDouble())

    private fun hear(now: Moment, from: InstanceId) {
        heard.onContact(now)
        asks.clear(from)
    }
}
