package io.mimosatrail.gateway.follow

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoredValue
import io.mimosatrail.core.time.Moment
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val prefix = StoreKey("upstreams")
private val leaving = InstanceId("leaving")

/** Longest time after the end of an outage until the registry has to show again what the store shows. */
private val CATCH_UP_BOUND = 3.seconds
private val OUTAGE_START = 5.seconds
private val CALL_TIMEOUT = 900.milliseconds

/** How the store behaves during its outage. */
private enum class Outage(val answer: suspend () -> StoreReply) {
    REFUSING({ StoreReply.NotDone("refused") }),
    SILENT({
        delay(CALL_TIMEOUT)
        StoreReply.Uncertain("no answer")
    }),
}

/** An outage that ends [length] after [OUTAGE_START]; [leaving] leaves the registry [leavesAfter] its end. */
private data class OutageCase(val outage: Outage, val length: Duration, val leavesAfter: Duration)

@OptIn(ExperimentalCoroutinesApi::class)
private fun TestScope.now(): Moment = Moment(currentTime.milliseconds.inWholeNanoseconds)

private fun record(id: String) = UpstreamRecord(
    id = InstanceId(id),
    service = ServiceId("s"),
    address = PeerAddress("10.0.0.1", 80),
    place = PlaceId("kiruna"),
    isDraining = false,
    slots = 4,
    startedMillis = 1,
)

private fun listing(ids: List<String>) = StoreReply.Values(
    ids.map { StoredValue(prefix / it, it.toByteArray(), StoreRevision(1), StoreRevision(1)) },
    more = false,
    StoreRevision(1),
)

/** Time from the end of the outage until the registry no longer contains [leaving], or null if it stays. */
private suspend fun TestScope.removalTime(case: OutageCase): Duration? {
    val registry = UpstreamRegistry(heartbeat = 1.2.seconds)
    val outageEnd = Moment(0) + OUTAGE_START + case.length
    val follower = RegistryFollower(
        store = {
            val ids = if (now() < outageEnd + case.leavesAfter) listOf("a", leaving.value) else listOf("a")
            if (now() >= Moment(0) + OUTAGE_START && now() < outageEnd) case.outage.answer() else listing(ids)
        },
        prefix = prefix,
        decode = { record(it.value.decodeToString()) },
        registry = registry,
        clock = { now() },
        period = { 700.milliseconds },
        onChange = {},
    )
    val job = launch { follower.run() }
    delay(OUTAGE_START + case.length + case.leavesAfter)
    while (registry[leaving] != null && now() < outageEnd + 10.seconds) delay(10.milliseconds)
    job.cancel()
    return if (registry[leaving] == null) now() - outageEnd else null
}

class RegistryFollowerTest :
    FunSpec({
        // Guards against requests to an upstream that left shortly after an outage of the store.
        context("an upstream that leaves without notice around the end of an outage is removed within the bound") {
            withData(
                (0..6).map { OutageCase(Outage.REFUSING, 5.seconds + 100.milliseconds * it, 200.milliseconds) },
            ) { case ->
                runTest { removalTime(case).shouldNotBeNull() shouldBeLessThanOrEqualTo CATCH_UP_BOUND }
            }
        }

        test("an upstream that stays is kept while live upstreams register again") {
            runTest {
                val registry = UpstreamRegistry(heartbeat = 1.2.seconds)
                val ids = ArrayDeque(listOf(listOf("a"), null, null, null, null, listOf(), listOf("a")))
                val follower = RegistryFollower(
                    store = {
                        ids.removeFirstOrNull().let {
                            if (it ==
                                null
                            ) {
                                StoreReply.NotDone("down")
                            } else {
                                listing(it)
                            }
                        }
                    },
                    prefix = prefix,
                    decode = { record(it.value.decodeToString()) },
                    registry = registry,
                    clock = { now() },
                    period = { 700.milliseconds },
                    onChange = {},
                )
                val job = launch { follower.run() }
                while (ids.isNotEmpty()) {
                    delay(10.milliseconds)
                    (registry[InstanceId("a")] != null) shouldBe true
                }
                job.cancel()
            }
        }
    })
