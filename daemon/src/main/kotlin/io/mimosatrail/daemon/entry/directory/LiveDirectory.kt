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

/** Keeps what this entry knows of upstreams, from the instance list and from the sidecars' own answers. */
class LiveDirectory(private val host: Host) : Directory {
    private val table = UpstreamTable()

    /** Begins to follow the list and to ask sidecars. */
    fun start() {
        host.timers.every("directory", TICK, ::tick)
    }

    /** Every upstream that has described itself, whether or not it takes work. */
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

    /** Runs [block] alone on the table. */
    internal fun <T> withTable(block: UpstreamTable.(UpstreamTable, Moment) -> T): T =
        synchronized(table) { table.block(table, host.clock()) }

    private fun tick(now: Moment) {
        val due = withTable { table, _ ->
            table.onList(host.instances(), now)
            table.takeDue(now, QUESTIONS_PER_TICK)
        }
        due.forEach { entry -> host.scope.launch { ask(entry) } }
    }

    private suspend fun ask(entry: InstanceEntry) {
        val answer = host.peers.ask(entry.address, Describe, ANSWER_TIMEOUT).get()
        val description = (answer as? Described)?.upstream
        withTable { table, now ->
            if (description?.instance == entry.id) table.onDescribed(description, now) else table.onLost(entry.id, now)
        }
    }

    private companion object {
        val TICK: Duration = 100.milliseconds
        val ANSWER_TIMEOUT: Duration = 1.seconds
        const val QUESTIONS_PER_TICK = 32
    }
}
