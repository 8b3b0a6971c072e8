package io.mimosatrail.daemon.entry.admission

import com.github.michaelbull.result.get
import io.mimosatrail.core.limits.PermitGrant
import io.mimosatrail.core.limits.PermitLender
import io.mimosatrail.core.limits.PermitRequest
import io.mimosatrail.core.limits.PermitTable
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.time.Moment
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.protocol.BorrowPermits
import io.mimosatrail.protocol.LendPermits
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Borrows permits for [table] from the homes of workspaces, and lends permits for the workspaces at home here. */
internal class PermitExchange(
    private val host: Host,
    private val entries: LiveEntries,
    private val table: PermitTable,
) {
    private val lender = PermitLender()

    fun start() {
        host.messages.on<BorrowPermits> { _, message -> LendPermits(lend(message.requests)) }
        host.timers.every("permits", TICK, ::borrow)
        host.timers.every("permits-idle", IDLE_PERIOD) { now -> synchronized(lender) { lender.forgetIdle(now) } }
    }

    private fun borrow(now: Moment) {
        val dueRequests = synchronized(table) { table.takeDueRequests(now) }
        dueRequests.groupBy { entries.homeOf(it.workspace) }.forEach { (home, requests) -> borrow(home, requests) }
    }

    private fun borrow(home: InstanceEntry, requests: List<PermitRequest>) {
        if (home.id == host.self.id) return onGrants(requests, lend(requests))
        host.scope.launch {
            val reply = host.peers.ask(home.address, BorrowPermits(requests), GRANT_TIMEOUT).get()
            onGrants(requests, (reply as? LendPermits)?.grants.orEmpty())
        }
    }

    /** Adds the grants to the table. A request without a grant counts as not answered. */
    private fun onGrants(requests: List<PermitRequest>, grants: List<PermitGrant>) {
        val grantByWorkspace = grants.associateBy { it.workspace }
        synchronized(table) {
            for (request in requests) {
                grantByWorkspace[request.workspace]?.let { table.onGrant(it, host.clock()) }
                    ?: table.onNoAnswer(request)
            }
        }
    }

    private fun lend(requests: List<PermitRequest>): List<PermitGrant> {
        val workspaces = host.configuration().workspaces
        return synchronized(lender) {
            requests.mapNotNull { request ->
                workspaces[request.workspace]?.let { lender.lend(request, it, host.clock()) }
            }
        }
    }

    private companion object {
        val TICK: Duration = 50.milliseconds
        val GRANT_TIMEOUT: Duration = 1.seconds
        val IDLE_PERIOD: Duration = 10.seconds
    }
}
