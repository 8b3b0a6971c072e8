package io.mimosatrail.daemon.entry.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.limits.PermitGrant
import io.mimosatrail.core.limits.PermitRequest
import io.mimosatrail.core.limits.Permits
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.daemon.entry.EntryFixture
import io.mimosatrail.daemon.entry.instance
import io.mimosatrail.protocol.BorrowPermits
import io.mimosatrail.protocol.LendPermits
import kotlin.time.Duration.Companion.milliseconds

private val workspace = Workspace(WorkspaceId("captains"), emptyList(), requestsPerSecond = 2)

private fun fixture() = EntryFixture().apply {
    configuration =
        Configuration(workspaces = mapOf(workspace.id to workspace))
}

class AdmissionTest :
    FunSpec({
        test("a request over its workspace's limit is refused as not run, with the time after which to retry") {
            val admission = Admission(fixture().host)
            repeat(2) { admission.admit(workspace, 10).shouldBeNull() }
            val refusal = admission.admit(workspace, 10).shouldNotBeNull()
            refusal.outcome shouldBe Outcome.NOT_RUN
            refusal.reason shouldBe RefusalReason.OVER_LIMIT
            refusal.step shouldBe Step.ADMIT
            refusal.retryAfterMillis shouldBe 500L
        }

        test(
            "an entry borrows permits from the home of a workspace and reports what it spent from its own share",
        ) {
            val fixture = fixture()
            val home = generateSequence(0) { it + 1 }.map { instance("other$it", InstanceRole.ENTRY, 2) }.first {
                fixture.instances = listOf(fixture.self, it)
                LiveEntries(fixture.host).homeOf(workspace.id) == it
            }
            val borrowRequests = mutableListOf<PermitRequest>()
            fixture.peers.replies[home.address] = { message ->
                borrowRequests += message.shouldBeInstanceOf<BorrowPermits>().requests
                LendPermits(listOf(PermitGrant(workspace.id, Permits(3.0, 100.0))))
            }
            val admission = Admission(fixture.host)
            admission.start()
            admission.admit(workspace, 10).shouldBeNull()
            fixture.advance(50.milliseconds)
            borrowRequests.map { it.spent } shouldBe listOf(Permits(1.0, 10.0))
            List(4) { admission.admit(workspace, 10) == null } shouldBe listOf(true, true, true, false)
        }
    })
