package io.mimosatrail.gateway.follow

import io.mimosatrail.core.registry.RegistryChange
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoredValue
import io.mimosatrail.core.time.Clock
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.log.logProblem
import kotlinx.coroutines.delay
import kotlin.time.Duration

/** Keeps [registry] up to date with the records that upstreams write to the store under [prefix]. */
internal class RegistryFollower(
    private val store: StoreCall,
    private val prefix: StoreKey,
    private val decode: (StoredValue) -> UpstreamRecord?,
    private val registry: UpstreamRegistry,
    private val clock: Clock,
    private val period: () -> Duration,
    private val onChange: (List<RegistryChange>) -> Unit,
) {
    private val outageLog = StoreOutageLog("registry")
    private val unreadableKeys = HashSet<StoreKey>()

    /** Lists the prefix periodically until cancelled. */
    suspend fun run() {
        while (true) {
            list()
            delay(untilNextListing())
        }
    }

    /** The regular period, or less if upstreams that are missing have to be removed earlier. */
    private fun untilNextListing(): Duration =
        registry.missingUntil?.let { minOf(period(), (it - clock()).coerceAtLeast(Duration.ZERO)) } ?: period()

    private suspend fun list() {
        val requestedAt = clock()
        when (val listing = store.listAll(prefix)) {
            is Listing.Failed -> {
                outageLog.onFailure(listing.reply)
                registry.onUnreachable()
            }
            is Listing.Complete -> {
                outageLog.onAnswer()
                val missingBefore = registry.missing
                val changes = registry.onListing(listing.values.mapNotNull(::toRecord), requestedAt)
                changes.forEach(::log)
                (registry.missing - missingBefore).forEach {
                    logEvent("registry", "upstream-missing", "upstream" to it)
                }
                if (changes.isNotEmpty()) onChange(changes)
            }
        }
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
}
