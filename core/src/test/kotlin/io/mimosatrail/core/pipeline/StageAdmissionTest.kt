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
        context("a stage holds at most its bound of requests and refuses the next as busy, not run") {
            withData(nameFn = { "bound $it" }, 1, 2, 16) { bound ->
                val table = table(bound)
                repeat(bound) { table.onMessage(firstFrame("r$it"), now).refusals().shouldBeEmpty() }
                val refusal = table.onMessage(firstFrame("next"), now).refusals().single()
                refusal.reason shouldBe RefusalReason.BUSY
                refusal.outcome shouldBe Outcome.NOT_RUN
                table.size shouldBe bound
            }
        }

        test("a new generation of a request that a full stage holds is taken, and room is free again after a cancel") {
            val table = table(1)
            table.onMessage(firstFrame("held"), now)
            table.onMessage(firstFrame("held", generation = 1), now).refusals().shouldBeEmpty()
            table.onMessage(StageCancel(RequestId("held"), Generation(1)), now)
            table.onMessage(firstFrame("next"), now).refusals().shouldBeEmpty()
        }
    })
