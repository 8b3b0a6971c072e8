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
import io.mimosatrail.store.instances.HttpRevisions
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.Serializable

private const val CONCURRENT_QUESTIONS = 32

/** What one instance has in force; [revision] is null where it did not say, and [detail] tells why. */
@Serializable
internal data class InstanceRevision(
    val instance: InstanceId,
    val place: PlaceId,
    val leaving: Boolean,
    val revision: ConfigRevision?,
    val detail: String? = null,
)

/** Where [wanted] is in force. Instances that leave don't count. */
@Serializable
internal data class Spread(val wanted: ConfigRevision, val instances: List<InstanceRevision>) {
    val missing: List<InstanceRevision>
        get() = instances.filter { !it.leaving && (it.revision == null || it.revision < wanted) }
    val counted: Int get() = instances.count { !it.leaving }
    val everywhere: Boolean get() = missing.isEmpty()

    fun summary(): String = "revision $wanted is in force at ${counted - missing.size} of $counted instances"

    fun describe(): String = (listOf(summary()) + missing.map { it.describe() }).joinToString("\n")
}

private fun InstanceRevision.describe() =
    "  $instance in $place: ${revision?.let { "revision $it" } ?: "no answer ($detail)"}"

/** Asks every listed instance which revision it has in force. */
internal suspend fun askSpread(wanted: ConfigRevision, instancesUrl: String): Spread {
    val listed = HttpInstanceList(instancesUrl).use { it.fetch() }
        .getOrElse { fail("the instance list did not answer: $it", ExitCode.UNAVAILABLE) }
    return HttpRevisions().use { revisions -> Spread(wanted, ask(listed, revisions)) }
}

private suspend fun ask(listed: List<InstanceEntry>, revisions: HttpRevisions) = coroutineScope {
    val permits = Semaphore(CONCURRENT_QUESTIONS)
    listed.map { entry -> async { permits.withPermit { ask(entry, revisions) } } }.awaitAll()
}

private suspend fun ask(entry: InstanceEntry, revisions: HttpRevisions): InstanceRevision {
    val leaving = entry.state == InstanceState.LEAVING
    val address = entry.adminAddress
        ?: return InstanceRevision(entry.id, entry.place, leaving, null, "no admin address in the list")
    return revisions.revisionOf(address).mapBoth(
        success = { InstanceRevision(entry.id, entry.place, leaving, it) },
        failure = { InstanceRevision(entry.id, entry.place, leaving, null, it) },
    )
}
