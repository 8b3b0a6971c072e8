package io.mimosatrail.core.registry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0)

private fun record(id: String, layers: LayerRange? = null, startedMillis: Long = 1, isDraining: Boolean = false) =
    UpstreamRecord(
        id = InstanceId(id),
        service = ServiceId("s"),
        address = PeerAddress("10.0.0.1", 80),
        place = PlaceId("kiruna"),
        isDraining = isDraining,
        slots = 4,
        startedMillis = startedMillis,
        layers = layers,
    )

private fun UpstreamRegistry.names() = of(ServiceId("s")).map { it.id.value }

class UpstreamRegistryTest :
    FunSpec({
        test("an upstream that a listing lacks is gone while the store answers") {
            val registry = UpstreamRegistry()
            registry.onListing(listOf(record("a"), record("b")), start)
            registry.onListing(listOf(record("a")), start + 5.seconds)
            registry.names() shouldContainExactly listOf("a")
        }

        test("entries that lapsed in an outage have two seconds to come back") {
            val registry = UpstreamRegistry()
            registry.onListing(listOf(record("a"), record("b")), start)
            registry.onUnreachable()
            registry.onListing(emptyList(), start + 10.seconds)
            registry.onListing(listOf(record("a")), start + 11.seconds)
            registry.names() shouldContainExactly listOf("a", "b")
            registry.onListing(listOf(record("a")), start + 12.5.seconds)
            registry.names() shouldContainExactly listOf("a")
        }

        test("changes name what was before and after") {
            val registry = UpstreamRegistry()
            registry.onListing(listOf(record("a")), start).single().before shouldBe null
            registry.onListing(listOf(record("a")), start).shouldBeEmpty()
            registry.onListing(listOf(record("a", isDraining = true)), start).single().after?.isDraining shouldBe true
        }

        context("what an entry saw counts until the registry shows it") {
            val seen = LayerRange(0, 4)

            fun told() = UpstreamRegistry().apply {
                onListing(listOf(record("a")), start)
                onWord(UpstreamWord(InstanceId("a"), 1, seen, isDraining = false, until = start + 4.seconds), start)
            }

            fun UpstreamRegistry.layers() = this[InstanceId("a")]?.layers

            test("at once") { told().layers() shouldBe seen }

            test("over listings that are behind") {
                told().apply { onListing(listOf(record("a")), start + 1.seconds) }.layers() shouldBe seen
            }

            test("not for longer than its time") {
                told().apply { onListing(listOf(record("a")), start + 4.seconds) }.layers() shouldBe null
            }

            test("not for the upstream's next life") {
                told().apply { onListing(listOf(record("a", startedMillis = 2)), start) }.layers() shouldBe null
            }

            test("not against a later order that the registry shows after this one") {
                val registry = told()
                registry.onListing(listOf(record("a", seen)), start + 1.seconds)
                registry.onListing(listOf(record("a", LayerRange(8, 12))), start + 2.seconds)
                registry.layers() shouldBe LayerRange(8, 12)
            }
        }
    })
