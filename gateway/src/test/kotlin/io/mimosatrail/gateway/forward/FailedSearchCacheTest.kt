package io.mimosatrail.gateway.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds

private val key = SearchKey(ServiceId("s"))
private const val WAITING_REQUESTS = 200
private const val TICK_MILLIS = 40

class FailedSearchCacheTest :
    FunSpec({
        test("many requests that wait for capacity cause a few searches a second, not one each") {
            val cache = FailedSearchCache()
            var searches = 0
            for (millis in 0 until 1_000 step TICK_MILLIS) {
                val now = Moment(0) + millis.milliseconds
                repeat(WAITING_REQUESTS) {
                    if (!cache.contains(key, now)) {
                        searches++
                        cache.add(key, now)
                    }
                }
            }
            searches shouldBeLessThanOrEqual 10
        }

        test("a failed search for one first engine does not affect streams that begin at another") {
            val cache = FailedSearchCache()
            val first = InstanceId("a")
            cache.add(SearchKey(ServiceId("s"), setOf(first), first), Moment(0))
            cache.contains(SearchKey(ServiceId("s"), setOf(InstanceId("b")), InstanceId("b")), Moment(0)) shouldBe false
            cache.contains(SearchKey(ServiceId("s"), setOf(first), first), Moment(0)) shouldBe true
        }

        test("a failed search for one service does not affect another") {
            val cache = FailedSearchCache()
            cache.add(key, Moment(0))
            cache.contains(SearchKey(ServiceId("t")), Moment(0)) shouldBe false
            cache.contains(key, Moment(0) + 100.milliseconds) shouldBe false
        }
    })
