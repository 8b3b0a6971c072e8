package io.mimosatrail.gateway.follow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.id.StoreTimeline
import io.mimosatrail.core.store.StorePosition
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0)
private val other = InstanceId("entry-2")

private fun term(revision: Long, timeline: Long = 1) = StorePosition(StoreTimeline(timeline), StoreRevision(revision))

private fun holder(term: StorePosition = term(5)) = DutyOwnership(InstanceId("entry-1")).apply {
    onLease(start + 3.seconds)
    onHolder(term)
}

class DutyOwnershipTest :
    FunSpec({
        test("while the store is available, only the holder acts, and only until its lease expires") {
            holder().mayAct(start + 2.seconds) shouldBe true
            holder().mayAct(start + 3.seconds) shouldBe false
            DutyOwnership(InstanceId("entry-1")).apply { onLease(start + 3.seconds) }.mayAct(start) shouldBe false
        }

        test("the holder continues while the store is unavailable") {
            val ownership = holder().apply { onStoreUnavailable(start + 1.seconds) }
            ownership.mayAct(start + 9.seconds) shouldBe true
        }

        test("a holder stops when a peer holds a later term") {
            val ownership = holder().apply { onStoreUnavailable(start) }
            ownership.onPeerMessage(other, term(6), start)
            ownership.mayAct(start) shouldBe false
        }

        test("a holder continues when a peer holds an earlier term") {
            val ownership = holder().apply { onStoreUnavailable(start) }
            ownership.onPeerMessage(other, term(4), start)
            ownership.mayAct(start) shouldBe true
        }

        // Guards against two holders that each take their term for the later one after a restore of the store.
        test("a term of a later timeline of the store is later, even if its revision is lower") {
            val ownership = holder(term(90, timeline = 1)).apply { onStoreUnavailable(start) }
            ownership.onPeerMessage(other, term(5, timeline = 2), start)
            ownership.mayAct(start) shouldBe false
            val later = holder(term(5, timeline = 2)).apply { onStoreUnavailable(start) }
            later.onPeerMessage(other, term(90, timeline = 1), start)
            later.mayAct(start) shouldBe true
        }

        test(
            "if the store is unavailable and no peer holds the duty, the entry with the lowest id acts after a delay",
        ) {
            val ownership = DutyOwnership(InstanceId("entry-1")).apply { onStoreUnavailable(start) }
            ownership.onPeerMessage(other, term = null, start + 1_900.milliseconds)
            ownership.mayAct(start + 1_900.milliseconds) shouldBe false
            ownership.mayAct(start + 2_100.milliseconds) shouldBe true
        }

        test("an entry that does not hold the duty and receives no messages does not act") {
            val ownership = DutyOwnership(InstanceId("entry-1")).apply { onStoreUnavailable(start) }
            ownership.mayAct(start + 10.seconds) shouldBe false
        }

        test("an entry does not act if a peer has a lower id") {
            val ownership = DutyOwnership(InstanceId("entry-3")).apply { onStoreUnavailable(start) }
            ownership.onPeerMessage(other, term = null, start + 3.seconds)
            ownership.mayAct(start + 3.seconds) shouldBe false
        }

        test("once the store is available again, the holder that it names counts") {
            val ownership = holder().apply { onStoreUnavailable(start) }
            ownership.onLease(start + 12.seconds)
            ownership.onHolder(null)
            ownership.mayAct(start + 10.seconds) shouldBe false
        }
    })
