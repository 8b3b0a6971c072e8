package io.mimosatrail.daemon.entry.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.daemon.entry.EntryFixture

class AdmissionTest :
    FunSpec({
        test("a request over its workspace's limit is refused as not run, with a time to come back") {
            val admission = Admission(EntryFixture().host)
            val workspace = Workspace(WorkspaceId("captains"), emptyList(), requestsPerSecond = 2)
            repeat(2) { admission.admit(workspace, 10).shouldBeNull() }
            val refusal = admission.admit(workspace, 10).shouldNotBeNull()
            refusal.outcome shouldBe Outcome.NOT_RUN
            refusal.reason shouldBe RefusalReason.OVER_LIMIT
            refusal.step shouldBe Step.ADMIT
            refusal.retryAfterMillis shouldBe 500L
        }
    })
