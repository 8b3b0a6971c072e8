package io.mimosatrail.gateway.follow

import io.mimosatrail.core.registry.RegistryChange
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
    private val period: () -> Duration,
    private val onChange: (List<RegistryChange>) -> Unit,
) {
    private val outageLog = StoreOutageLog("registry")
    private val unreadableKeys = HashSet<StoreKey>()

    /** Time at which the newest listing that was applied was requested, or null before the first. */
    private var appliedRequest: Moment? = null

    /** Lists the prefix periodically until cancelled. A listing without an answer does not hold back the next one. */
    suspend fun run(): Unit = coroutineScope {
        while (true) {
            val listing = async { list() }
            val isListed = withTimeoutOrNull(ANSWER_TIME) { listing.await() } ?: false
            delay(if (isListed) untilNextListing() else RETRY_PAUSE)
        }
    }

    /** The regular period, or less if upstreams that are missing have to be removed earlier. */
    private fun untilNextListing(): Duration =
        registry.missingUntil?.let { minOf(period(), (it - clock()).coerceAtLeast(Duration.ZERO)) } ?: period()

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
        val changes = registry.onListing(values.mapNotNull(::toRecord), requestedAt)
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
