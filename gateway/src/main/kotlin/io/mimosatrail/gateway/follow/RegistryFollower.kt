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

/** Keeps [registry] up to date with the entries that upstreams write under [prefix]. */
internal class RegistryFollower(
    private val store: StoreCall,
    private val prefix: StoreKey,
    private val decode: (StoredValue) -> UpstreamRecord?,
    private val registry: UpstreamRegistry,
    private val clock: Clock,
    private val period: () -> Duration,
    private val onChange: (List<RegistryChange>) -> Unit,
) {
    private val link = StoreLink("registry")
    private val unreadable = HashSet<StoreKey>()

    /** Lists the prefix until cancelled. */
    suspend fun run() {
        while (true) {
            list()
            delay(period())
        }
    }

    private suspend fun list() {
        val asked = clock()
        when (val listing = store.listAll(prefix)) {
            is Listing.Failed -> {
                link.onFailure(listing.reply)
                registry.onUnreachable()
            }
            is Listing.Whole -> {
                link.onAnswer()
                val changes = registry.onListing(listing.values.mapNotNull(::record), asked)
                changes.forEach(::log)
                if (changes.isNotEmpty()) onChange(changes)
            }
        }
    }

    private fun record(value: StoredValue): UpstreamRecord? {
        val record = decode(value)
        if (record != null) {
            unreadable -= value.key
        } else if (unreadable.add(value.key)) {
            logProblem("registry", "entry-skipped", "key" to value.key, "revision" to value.revision)
        }
        return record
    }

    private fun log(change: RegistryChange) = logEvent(
        "registry",
        "upstream-changed",
        "upstream" to change.id,
        "service" to (change.after ?: change.before)?.service,
        "state" to change.after.state(),
        "previous" to change.before.state(),
    )

    private fun UpstreamRecord?.state(): String = when {
        this == null -> "gone"
        isDraining -> "draining"
        else -> "ready[${layers ?: "-"}]@$address"
    }
}
