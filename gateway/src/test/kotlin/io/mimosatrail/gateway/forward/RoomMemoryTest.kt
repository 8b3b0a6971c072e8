package io.mimosatrail.gateway.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds

private val service = RoomQuestion(ServiceId("s"))
private const val WAITING_REQUESTS = 200
private const val TICK_MILLIS = 40

class RoomMemoryTest :
    FunSpec({
        test("many requests that wait for room cause a few searches a second, not one each") {
            val room = RoomMemory()
            var searches = 0
            for (millis in 0 until 1_000 step TICK_MILLIS) {
                val now = Moment(0) + millis.milliseconds
                repeat(WAITING_REQUESTS) {
                    if (!room.isFull(service, now)) {
                        searches++
                        room.onFull(service, now)
                    }
                }
            }
            searches shouldBeLessThanOrEqual 10
        }

        test("a stream that cannot be led around an engine says nothing of one that begins elsewhere") {
            val room = RoomMemory()
            val first = InstanceId("a")
            room.onFull(RoomQuestion(ServiceId("s"), setOf(first), first), Moment(0))
            room.isFull(RoomQuestion(ServiceId("s"), setOf(InstanceId("b")), InstanceId("b")), Moment(0)) shouldBe false
            room.isFull(RoomQuestion(ServiceId("s"), setOf(first), first), Moment(0)) shouldBe true
        }

        test("one service without room says nothing of another") {
            val room = RoomMemory()
            room.onFull(service, Moment(0))
            room.isFull(RoomQuestion(ServiceId("t")), Moment(0)) shouldBe false
            room.isFull(service, Moment(0) + 100.milliseconds) shouldBe false
        }
    })
