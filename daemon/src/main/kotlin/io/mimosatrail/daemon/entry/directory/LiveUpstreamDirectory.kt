package io.mimosatrail.daemon.entry.directory

import com.github.michaelbull.result.get
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.routing.UpstreamTable
import io.mimosatrail.core.time.Moment
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.protocol.Describe
import io.mimosatrail.protocol.Described
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Finds upstreams in the instance list and asks their sidecars for descriptions periodically. */
class LiveUpstreamDirectory(private val host: Host) : UpstreamDirectory {
    private val table = UpstreamTable()

    /** Starts following the instance list and asking sidecars. */
    fun start() {
        host.timers.every("directory", TICK, ::tick)
    }

    /** Every upstream with a known description, including those that get no new requests. */
    fun upstreams(): List<UpstreamDescription> = withTable { _, _ -> all.mapNotNull { it.description } }

    override fun upstreamsOf(service: ServiceId): List<UpstreamDescription> =
        withTable { table, now -> table.serving(service, now).mapNotNull { it.description } }

    override fun onLoad(instance: InstanceId, load: UpstreamLoad) = withTable { table, now ->
        table.onLoad(instance, load, now)
    }

    override fun onRefused(instance: InstanceId, reason: RefusalReason) = withTable { table, now ->
        table.onRefused(instance, reason, now)
    }

    override fun onLost(instance: InstanceId) = withTable { table, now -> table.onLost(instance, now) }

    /** Runs [block] on the table under its lock, with the current time. */
    internal fun <T> withTable(block: UpstreamTable.(UpstreamTable, Moment) -> T): T =
        synchronized(table) { table.block(table, host.clock()) }

    private fun tick(now: Moment) {
        val due = withTable { table, _ ->
            table.onList(host.instances(), now)
            table.takeDue(now, DESCRIBES_PER_TICK)
        }
        due.forEach { entry -> host.scope.launch { requestDescription(entry) } }
    }

    private suspend fun requestDescription(entry: InstanceEntry) {
        val reply = host.peers.ask(entry.address, Describe, DESCRIBE_TIMEOUT).get()
        val description = (reply as? Described)?.upstream
        withTable { table, now ->
            if (description?.instance == entry.id) table.onDescribed(description, now) else table.onLost(entry.id, now)
        }
    }

    private companion object {
        val TICK: Duration = 100.milliseconds
        val DESCRIBE_TIMEOUT: Duration = 1.seconds
        const val DESCRIBES_PER_TICK = 32
    }
}
