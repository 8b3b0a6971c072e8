package io.mimosatrail.core.pipeline

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.minutes

private val self = Stage(InstanceId("runner-1"), PeerAddress("127.0.0.1", 1), LayerRange(0, 8))
private val now = Moment(0)

private fun firstFrame(request: String, generation: Int = 0): Frame {
    val route = Route(
        entry = InstanceId("entry-1"),
        entryAddress = PeerAddress("127.0.0.1", 2),
        chain = Chain(listOf(self)),
        modelLayers = 8,
        promptTokens = 1,
        maxTokens = 4,
        priority = 10,
        remainingMillis = 1.minutes.inWholeMilliseconds,
    )
    return Frame(RequestId(request), Generation(generation), 0, 0, 0, 1, ByteArray(4), emptyList(), route)
}

private fun table(maxRequests: Int) =
    StageTable(self.instance, StageSettings(maxRequests = maxRequests)) { error("invariant violated: $it") }

private fun List<StageEffect>.refusals() =
    filterIsInstance<StageEffect.Send>().map { it.message }.filterIsInstance<StageRefusal>().map { it.refusal }

class StageAdmissionTest :
    FunSpec({
        context("a stage at its request limit refuses the next request as busy with outcome NOT_RUN") {
            withData(nameFn = { "limit $it" }, 1, 2, 16) { limit ->
                val table = table(limit)
                repeat(limit) { table.onMessage(firstFrame("r$it"), now).refusals().shouldBeEmpty() }
                val refusal = table.onMessage(firstFrame("next"), now).refusals().single()
                refusal.reason shouldBe RefusalReason.BUSY
                refusal.outcome shouldBe Outcome.NOT_RUN
                table.size shouldBe limit
            }
        }

        test("a full stage accepts a new generation of an open request and, after a cancel, a new request") {
            val table = table(1)
            table.onMessage(firstFrame("held"), now)
            table.onMessage(firstFrame("held", generation = 1), now).refusals().shouldBeEmpty()
            table.onMessage(StageCancel(RequestId("held"), Generation(1)), now)
            table.onMessage(firstFrame("next"), now).refusals().shouldBeEmpty()
        }
    })
