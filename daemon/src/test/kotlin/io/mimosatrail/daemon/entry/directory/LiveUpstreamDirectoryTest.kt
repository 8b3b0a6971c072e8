package io.mimosatrail.daemon.entry.directory

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.config.ModelPool
import io.mimosatrail.core.id.AcceleratorKind
import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.membership.EngineDescription
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.routing.ChainRequest
import io.mimosatrail.daemon.entry.EntryFixture
import io.mimosatrail.daemon.entry.inspection
import io.mimosatrail.daemon.entry.instance
import io.mimosatrail.protocol.Described
import kotlin.time.Duration.Companion.seconds

private val pool = ModelPool(inspection, ModelId("points"), layers = 4)

private fun describe(entry: InstanceEntry, layers: LayerRange) = UpstreamDescription(
    entry.id,
    entry.place,
    entry.address,
    inspection,
    UpstreamLoad(),
    EngineDescription(pool.model, "1", layers, pool.layers, AcceleratorKind("a"), 64, 1_000),
)

class LiveUpstreamDirectoryTest :
    FunSpec({
        val first = instance("first", InstanceRole.SIDECAR, 10)
        val second = instance("second", InstanceRole.SIDECAR, 11)

        fun fixture() = EntryFixture().apply {
            instances = listOf(self, first, second)
            peers.replies[first.address] = { Described(describe(first, LayerRange(0, 2))) }
            peers.replies[second.address] = { Described(describe(second, LayerRange(2, 4))) }
        }

        fun started(fixture: EntryFixture) = LiveUpstreamDirectory(fixture.host).also {
            it.start()
            fixture.advance(1.seconds)
        }

        test("listed sidecars are asked for descriptions and used in chains") {
            val fixture = fixture()
            val directory = started(fixture)
            directory.upstreams().map { it.instance } shouldBe listOf(first.id, second.id)
            val planner = ChainPlanner(directory, fixture.host)
            val chain = planner.chooseChain(ChainRequest(pool, 10)).shouldNotBeNull()
            chain.stages.map { it.instance } shouldBe listOf(first.id, second.id)
            planner.chooseStage(ChainRequest(pool, 10), LayerRange(2, 4))?.instance shouldBe second.id
        }

        test("a sidecar that refuses as draining gets no new requests, and no chain is built without its layers") {
            val fixture = fixture()
            val directory = started(fixture)
            directory.onRefused(second.id, RefusalReason.DRAINING)
            directory.upstreamsOf(inspection).map { it.instance } shouldBe listOf(first.id)
            ChainPlanner(directory, fixture.host).chooseChain(ChainRequest(pool, 10)).shouldBeNull()
        }

        test("a description by another instance at a listed address is not recorded for the listed instance") {
            val fixture = fixture()
            fixture.peers.replies[first.address] = { Described(describe(second, LayerRange(0, 2))) }
            started(fixture).upstreams().map { it.instance } shouldBe listOf(second.id)
        }

        test("a sidecar that was unreachable at first is found by a later request") {
            val fixture = fixture()
            val reply = fixture.peers.replies.remove(first.address)
            val directory = started(fixture)
            fixture.peers.replies[first.address] = checkNotNull(reply)
            fixture.advance(1.seconds)
            directory.upstreams().map { it.instance }.toSet() shouldBe setOf(first.id, second.id)
        }
    })
