package io.mimosatrail.gateway.follow

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.registry.ListingDigest
import io.mimosatrail.core.registry.ListingReport
import io.mimosatrail.core.registry.ListingSchedule
import io.mimosatrail.core.registry.RegistryChange
import io.mimosatrail.core.registry.StorePollIntervals
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreTimelines
import io.mimosatrail.core.store.StoredValue
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.log.logProblem
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Keeps [registry] up to date with the records that upstreams write to the store under [prefix]. */
internal class RegistryFollower(
    private val store: StoreCall,
    private val timelines: StoreTimelines,
    private val prefix: StoreKey,
    private val decode: (StoredValue) -> UpstreamRecord?,
    private val registry: UpstreamRegistry,
    private val clock: Clock,
    private val self: InstanceId,
    private val registered: () -> RegisteredEntries,
    intervals: StorePollIntervals,
    private val onChange: (List<RegistryChange>) -> Unit,
) {
    private val outageLog = StoreOutageLog("registry")
    private val unreadableKeys = HashSet<StoreKey>()

    /** Time at which the newest listing that was applied was requested, or null before the first. */
    private var appliedRequest: Moment? = null
    private val schedule = ListingSchedule(intervals)
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)

    /** What this entry reports of its last listing to the others; null if it is no reader or has none. */
    fun report(): ListingReport? = if (isReader()) schedule.report(clock()) else null

    /** Records what another entry reports of its last listing. */
    fun onReport(report: ListingReport) {
        schedule.onReport(report, clock())?.let(registry::onVerified)
        wakeUps.trySend(Unit)
    }

    /** Lists the prefix at once, after the store was restored from a backup. */
    fun onRestored() {
        schedule.onRestored()
        wakeUps.trySend(Unit)
    }

    /** Lists the prefix when it is due until cancelled. A listing without an answer does not hold back the next one. */
    suspend fun run(): Unit = coroutineScope {
        while (true) {
            val listing = async { list() }
            val isListed = withTimeoutOrNull(ANSWER_TIME) { listing.await() } ?: false
            if (isListed) awaitNextListing() else delay(RETRY_PAUSE)
        }
    }

    private suspend fun awaitNextListing() {
        while (true) {
            val wait = untilNextListing()
            if (wait <= Duration.ZERO) return
            withTimeoutOrNull(wait) { wakeUps.receive() }
        }
    }

    /** As the schedule says, or less if upstreams that are missing have to be removed earlier. */
    private fun untilNextListing(): Duration {
        val due = schedule.nextListing(registered().entries, isReader()) ?: return Duration.ZERO
        return (registry.missingUntil?.let { minOf(it, due) } ?: due) - clock()
    }

    private fun isReader(): Boolean = ListingSchedule.isReader(self, registered().ids)

    /** Lists the prefix once. Returns true if the store answered. */
    private suspend fun list(): Boolean {
        val requestedAt = clock()
        val timeline = timelines.current
        val listing = store.listAll(prefix)
        if (!timelines.isCurrent(timeline)) return false
        val isNewest = appliedRequest?.let { requestedAt > it } ?: true
        when (listing) {
            is Listing.Failed -> if (isNewest) {
                outageLog.onFailure(listing.reply)
                registry.onUnreachable()
            }
            is Listing.Complete -> {
                outageLog.onAnswer()
                if (isNewest) apply(listing.values, requestedAt)
            }
        }
        return listing is Listing.Complete
    }

    private fun apply(values: List<StoredValue>, requestedAt: Moment) {
        appliedRequest = requestedAt
        val missingBefore = registry.missing
        val records = values.mapNotNull(::toRecord)
        schedule.onListing(ListingDigest.of(records), requestedAt)
        val changes = registry.onListing(records, requestedAt)
        changes.forEach(::log)
        val added = registry.missing - missingBefore
        added.forEach { logEvent("registry", "upstream-missing", "upstream" to it) }
        if (changes.isNotEmpty()) onChange(changes)
    }

    private fun toRecord(value: StoredValue): UpstreamRecord? {
        val record = decode(value)
        if (record != null) {
            unreadableKeys -= value.key
        } else if (unreadableKeys.add(value.key)) {
            logProblem("registry", "entry-skipped", "key" to value.key, "revision" to value.revision)
        }
        return record
    }

    private fun log(change: RegistryChange) = logEvent(
        "registry",
        "upstream-changed",
        "upstream" to change.id,
        "service" to (change.after ?: change.before)?.service,
        "state" to change.after.describe(),
        "previous" to change.before.describe(),
    )

    private fun UpstreamRecord?.describe(): String = when {
        this == null -> "gone"
        isDraining -> "draining"
        else -> "ready[${layers ?: "-"}]@$address"
    }

    private companion object {
        /** The store answers within milliseconds, and within a quarter of a second when it is slow. */
        val ANSWER_TIME = 400.milliseconds

        /** Short, since a listing after the end of an outage shows what has left meanwhile. */
        val RETRY_PAUSE = 150.milliseconds
    }
}
