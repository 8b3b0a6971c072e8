package io.mimosatrail.core.registry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0)

private fun UpstreamRegistry.names() = of(ServiceId("s")).map { it.id.value }

class UpstreamRegistryTest :
    FunSpec({
        test("an upstream that is missing from a listing is removed if the store was reachable") {
            val registry = UpstreamRegistry()
            registry.onListing(listOf(upstreamRecord("a"), upstreamRecord("b")), start)
            registry.onListing(listOf(upstreamRecord("a")), start + 5.seconds)
            registry.names() shouldContainExactly listOf("a")
        }

        test("after an outage an upstream has two seconds to register again") {
            val registry = UpstreamRegistry()
            registry.onListing(listOf(upstreamRecord("a"), upstreamRecord("b")), start)
            registry.onUnreachable()
            registry.onListing(emptyList(), start + 10.seconds)
            registry.onListing(listOf(upstreamRecord("a")), start + 11.seconds)
            registry.names() shouldContainExactly listOf("a", "b")
            registry.missing.map { it.value } shouldContainExactly listOf("b")
            registry.onListing(listOf(upstreamRecord("a")), start + 12.5.seconds)
            registry.names() shouldContainExactly listOf("a")
            registry.missing.shouldBeEmpty()
        }

        // Guards against requests to an upstream that left while its entry was kept after an outage of the store.
        context("an upstream that leaves without notice is removed") {
            fun registryAfterOutage(ids: List<String>) = UpstreamRegistry().apply {
                onListing(listOf(upstreamRecord("a"), upstreamRecord("b")), start)
                onUnreachable()
                onListing(ids.map { upstreamRecord(it) }, start + 10.seconds)
            }

            test("by the next listing, once it has been listed since the outage") {
                val registry = registryAfterOutage(listOf("a", "b"))
                registry.onListing(listOf(upstreamRecord("a")), start + 10.5.seconds)
                registry.names() shouldContainExactly listOf("a")
            }

            test("by the first listing after live upstreams have registered again") {
                val registry = registryAfterOutage(listOf("a"))
                val end = checkNotNull(registry.missingUntil)
                registry.onListing(listOf(upstreamRecord("a")), end)
                registry.names() shouldContainExactly listOf("a")
                registry.missingUntil shouldBe null
            }

            test("at once after a failure that is too short for entries to expire") {
                val registry = UpstreamRegistry(heartbeat = 1.seconds)
                registry.onListing(listOf(upstreamRecord("a"), upstreamRecord("b")), start)
                registry.onUnreachable()
                registry.onListing(listOf(upstreamRecord("a")), start + 1.9.seconds)
                registry.names() shouldContainExactly listOf("a")
            }
        }

        test("a change has the records before and after it") {
            val registry = UpstreamRegistry()
            registry.onListing(listOf(upstreamRecord("a")), start).single().before shouldBe null
            registry.onListing(listOf(upstreamRecord("a")), start).shouldBeEmpty()
            registry.onListing(
                listOf(upstreamRecord("a", isDraining = true)),
                start,
            ).single().after?.isDraining shouldBe
                true
        }

        context("an observation replaces the listed state") {
            val observed = LayerRange(0, 4)

            fun registry() = UpstreamRegistry().apply {
                onListing(listOf(upstreamRecord("a")), start)
                val expiresAt = start + 4.seconds
                val observation = UpstreamObservation(InstanceId("a"), 1, observed, isDraining = false, expiresAt)
                onObservation(observation, start)
            }

            fun UpstreamRegistry.layers() = this[InstanceId("a")]?.layers

            test("immediately") { registry().layers() shouldBe observed }

            test("after a listing that does not show it yet") {
                registry().apply { onListing(listOf(upstreamRecord("a")), start + 1.seconds) }.layers() shouldBe
                    observed
            }

            test("until it expires") {
                registry().apply { onListing(listOf(upstreamRecord("a")), start + 4.seconds) }.layers() shouldBe null
            }

            test("unless the upstream has restarted") {
                registry().apply { onListing(listOf(upstreamRecord("a", startedMillis = 2)), start) }.layers() shouldBe
                    null
            }

            test("only until the registry has shown it once") {
                val registry = registry()
                registry.onListing(listOf(upstreamRecord("a", observed)), start + 1.seconds)
                registry.onListing(listOf(upstreamRecord("a", LayerRange(8, 12))), start + 2.seconds)
                registry.layers() shouldBe LayerRange(8, 12)
            }
        }

        // Guards against requests to upstreams that have left, which a restore of the store from a backup lists again.
        context("after a restore of the store") {
            fun restored(vararg before: List<UpstreamRecord>) = UpstreamRegistry().apply {
                before.forEachIndexed { index, listing -> onListing(listing, start + index.seconds) }
                onRestored()
            }
            val soon = start + 10.seconds

            test("an upstream that has left stays away while its old entry is listed") {
                val registry = restored(listOf(upstreamRecord("a"), upstreamRecord("b")), listOf(upstreamRecord("a")))
                registry.onListing(listOf(upstreamRecord("a"), upstreamRecord("b")), soon)
                registry.names() shouldContainExactly listOf("a")
                registry.onListing(listOf(upstreamRecord("a"), upstreamRecord("b")), soon + 4.seconds)
                registry.names() shouldContainExactly listOf("a")
            }

            test("an upstream that has left and started again is used") {
                val registry = restored(listOf(upstreamRecord("a"), upstreamRecord("b")), listOf(upstreamRecord("a")))
                registry.onListing(listOf(upstreamRecord("a"), upstreamRecord("b", startedMillis = 2)), soon)
                registry.names() shouldContainExactly listOf("a", "b")
            }

            test("an upstream that is still listed after old entries have expired is used again") {
                val registry = restored(listOf(upstreamRecord("a"), upstreamRecord("b")), listOf(upstreamRecord("a")))
                registry.onListing(listOf(upstreamRecord("a"), upstreamRecord("b")), soon)
                registry.onListing(listOf(upstreamRecord("a"), upstreamRecord("b")), soon + 6.seconds)
                registry.names() shouldContainExactly listOf("a", "b")
            }

            test("an upstream that has started since the backup has two seconds to register again") {
                val registry = restored(listOf(upstreamRecord("a"), upstreamRecord("new")))
                registry.onListing(listOf(upstreamRecord("a")), soon)
                registry.names() shouldContainExactly listOf("a", "new")
                registry.onListing(listOf(upstreamRecord("a")), soon + 2.5.seconds)
                registry.names() shouldContainExactly listOf("a")
            }

            test("an upstream that has restarted since the backup is kept as it is") {
                val registry = restored(listOf(upstreamRecord("a", startedMillis = 5)))
                registry.onListing(listOf(upstreamRecord("a", startedMillis = 1)), soon)
                registry[InstanceId("a")]?.startedMillis shouldBe 5
            }
        }

        test("an upstream that is draining stays so until it restarts, whatever the registry shows") {
            val registry = UpstreamRegistry()
            registry.onListing(listOf(upstreamRecord("a", isDraining = true)), start)
            registry.onListing(listOf(upstreamRecord("a")), start + 1.seconds)
            registry[InstanceId("a")]?.isDraining shouldBe true
            registry.onListing(listOf(upstreamRecord("a", startedMillis = 2)), start + 2.seconds)
            registry[InstanceId("a")]?.isDraining shouldBe false
        }
    })
