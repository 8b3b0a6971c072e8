package io.mimosatrail.cli.ticket

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.mimosatrail.cli.run.ExitCode
import io.mimosatrail.cli.run.fail
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceState
import io.mimosatrail.store.instances.HttpInstanceList
import io.mimosatrail.store.instances.HttpRevisionClient
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.Serializable

private const val MAX_CONCURRENT_REQUESTS = 32

/** Revision in force at one instance. If it is not known, [revision] is null and [detail] is the reason. */
@Serializable
internal data class InstanceRevision(
    val instance: InstanceId,
    val place: PlaceId,
    val leaving: Boolean,
    val revision: ConfigRevision?,
    val detail: String? = null,
)

/**
 * Shows which instances have at least revision [wanted] in force. Instances that are leaving are listed in [instances],
 * but not counted.
 */
@Serializable
internal data class RolloutStatus(val wanted: ConfigRevision, val instances: List<InstanceRevision>) {
    val outdated: List<InstanceRevision>
        get() = instances.filter { !it.leaving && (it.revision == null || it.revision < wanted) }
    val expectedCount: Int get() = instances.count { !it.leaving }
    val isComplete: Boolean get() = outdated.isEmpty()

    fun summary(): String =
        "revision $wanted is in force at ${expectedCount - outdated.size} of $expectedCount instances"

    fun describe(): String = (listOf(summary()) + outdated.map { it.describe() }).joinToString("\n")
}

private fun InstanceRevision.describe() =
    "  $instance in $place: ${revision?.let { "revision $it" } ?: "no answer ($detail)"}"

/** Queries every instance in the list for its revision. Ends the command if the list cannot be read. */
internal suspend fun fetchRolloutStatus(wanted: ConfigRevision, instancesUrl: String): RolloutStatus {
    val listed = HttpInstanceList(instancesUrl).use { it.fetch() }
        .getOrElse { fail("the instance list could not be read: $it", ExitCode.UNAVAILABLE) }
    return HttpRevisionClient().use { client -> RolloutStatus(wanted, fetchRevisions(listed, client)) }
}

private suspend fun fetchRevisions(listed: List<InstanceEntry>, client: HttpRevisionClient) = coroutineScope {
    val permits = Semaphore(MAX_CONCURRENT_REQUESTS)
    listed.map { entry -> async { permits.withPermit { fetchRevision(entry, client) } } }.awaitAll()
}

private suspend fun fetchRevision(entry: InstanceEntry, client: HttpRevisionClient): InstanceRevision {
    val leaving = entry.state == InstanceState.LEAVING
    val address = entry.adminAddress
        ?: return InstanceRevision(entry.id, entry.place, leaving, null, "no admin address in the list")
    return client.fetchRevision(address).mapBoth(
        success = { InstanceRevision(entry.id, entry.place, leaving, it) },
        failure = { InstanceRevision(entry.id, entry.place, leaving, null, it) },
    )
}
