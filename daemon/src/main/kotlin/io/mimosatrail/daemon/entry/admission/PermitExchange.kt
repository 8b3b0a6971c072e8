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

/** Borrows permits into [table] from the homes of workspaces, and lends those of workspaces at home here. */
internal class PermitExchange(private val host: Host, private val homes: HomeEntries, private val table: PermitTable) {
    private val lender = PermitLender()

    fun start() {
        host.messages.on<BorrowPermits> { _, message -> LendPermits(lend(message.requests)) }
        host.timers.every("permits", TICK, ::borrow)
        host.timers.every("permits-idle", IDLE_PERIOD) { now -> synchronized(lender) { lender.forgetIdle(now) } }
    }

    private fun borrow(now: Moment) {
        val due = synchronized(table) { table.takeDueRequests(now) }
        due.groupBy { homes.homeOf(it.workspace) }.forEach { (home, requests) -> borrow(home, requests) }
    }

    private fun borrow(home: InstanceEntry, requests: List<PermitRequest>) {
        if (home.id == host.self.id) return settle(requests, lend(requests))
        host.scope.launch {
            val answer = host.peers.ask(home.address, BorrowPermits(requests), ANSWER_TIMEOUT).get()
            settle(requests, (answer as? LendPermits)?.grants.orEmpty())
        }
    }

    private fun settle(requests: List<PermitRequest>, grants: List<PermitGrant>) {
        val granted = grants.associateBy { it.workspace }
        synchronized(table) {
            for (request in requests) {
                granted[request.workspace]?.let { table.onGrant(it, host.clock()) } ?: table.onNoAnswer(request)
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
        val ANSWER_TIMEOUT: Duration = 1.seconds
        val IDLE_PERIOD: Duration = 10.seconds
    }
}
