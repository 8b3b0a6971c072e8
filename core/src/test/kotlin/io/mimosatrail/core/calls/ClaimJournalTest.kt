package io.mimosatrail.core.calls

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.mimosatrail.core.id.Epoch
import io.mimosatrail.core.id.IdempotencyKey
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.SlotId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoredValue
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val key = ClaimKey(WorkspaceId("crews"), IdempotencyKey("k1"))
private val answer = UpstreamAnswer(201, emptyList(), "7".toByteArray())
private val written = StoreReply.Written(StoreRevision(1))

/** A journal that serves the service's only slot, with a manual clock. */
private class Fixture(history: ClaimHistory = ClaimHistory()) {
    private var elapsed = Duration.ZERO
    private var attempts = 0L
    val violations = mutableListOf<CallInvariant>()
    val journal = ClaimJournal(Epoch(1), InstanceId("sidecar"), CallSettings(), { WriterNonce("n") }, violations::add)
        .apply { addSlots(setOf(SlotId(0)), 1, history) }

    val time get() = CallTime(Moment(0) + elapsed, WallTime(elapsed.inWholeMilliseconds))

    fun advance(duration: Duration): List<CallEffect> {
        elapsed += duration
        return journal.tick(time)
    }

    fun call(body: String = "report", timeout: Duration = 10.seconds): List<CallEffect> {
        val hash = RequestHash.of("POST", "/defects", body.toByteArray())
        return journal.onCall(CallAttempt(AttemptId(attempts++), key, hash, time.now + timeout), time)
    }

    /** Passes the store's reply to the pending append to the journal. */
    fun onAppended(reply: StoreReply): List<CallEffect> = journal.onAppended(reply, time)

    /** Passes the upstream's result of the first attempt to the journal. */
    fun onResult(result: RunResult): List<CallEffect> = journal.onResult(AttemptId(0), result, time)

    /** Makes the first call with the key, up to the point at which it is sent to the upstream. */
    fun callAndSend() {
        call()
        onAppended(written).single() shouldBe CallEffect.Run(AttemptId(0))
    }
}

private fun List<CallEffect>.refusals(): List<Refusal> =
    filterIsInstance<CallEffect.Reply>().map { it.decision }.filterIsInstance<CallDecision.Refuse>().map { it.refusal }

private fun List<CallEffect>.outcomes() = refusals().map { it.outcome to it.reason }

/** The `replayed` flag of each answer. */
private fun List<CallEffect>.replayedFlags() = filterIsInstance<CallEffect.Reply>()
    .map { it.decision }
    .filterIsInstance<CallDecision.Answer>()
    .map { it.replayed }

private fun conflict(record: JournalRecord) =
    StoreReply.Conflict(StoredValue(StoreKey("k"), CallCodec.encode(record), StoreRevision(1), StoreRevision(1)))

class ClaimJournalTest :
    FunSpec({
        test("a call is sent only after its claim is stored, once, and its answer is replayed") {
            val fixture = Fixture()
            fixture.call().single().shouldBeInstanceOf<CallEffect.Append>()
            fixture.onAppended(written) shouldBe listOf(CallEffect.Run(AttemptId(0)))
            fixture.onResult(RunResult.Answered(answer)).replayedFlags() shouldBe listOf(false)
            fixture.onResult(RunResult.Answered(answer)).shouldBeEmpty()
            fixture.call().replayedFlags() shouldBe listOf(true)
            fixture.violations.shouldBeEmpty()
        }

        test("a repeat waits for the first call, and one with another body is refused without affecting it") {
            val fixture = Fixture()
            fixture.callAndSend()
            fixture.call().shouldBeEmpty()
            fixture.call("other").outcomes() shouldBe listOf(Outcome.NOT_RUN to RefusalReason.CONFLICT)
            fixture.onResult(RunResult.Answered(answer)).replayedFlags() shouldBe listOf(false, true)
        }

        test("a claim that the store rejects means not run, and the key may be claimed again") {
            val fixture = Fixture()
            fixture.call()
            fixture.onAppended(StoreReply.NotDone("down")).outcomes() shouldBe
                listOf(Outcome.NOT_RUN to RefusalReason.STORE_UNAVAILABLE)
            fixture.advance(1.seconds)
            fixture.call().single().shouldBeInstanceOf<CallEffect.Append>().sequence shouldBe 0
        }

        test("an append whose reply was lost is retried, and its stored record is recognised by the nonce") {
            val fixture = Fixture()
            val first = fixture.call().single().shouldBeInstanceOf<CallEffect.Append>()
            fixture.onAppended(StoreReply.Uncertain("lost")).shouldBeEmpty()
            fixture.advance(1.seconds).single() shouldBe first
            fixture.onAppended(StoreReply.NotDone("busy")).shouldBeEmpty()
            fixture.advance(500.milliseconds).single() shouldBe first
            fixture.onAppended(conflict(first.record)) shouldBe listOf(CallEffect.Run(AttemptId(0)))
        }

        test("a call refused as not run is never sent, even if its claim is stored later") {
            val fixture = Fixture()
            fixture.call()
            fixture.onAppended(StoreReply.Uncertain("lost"))
            fixture.advance(3.seconds).outcomes() shouldBe listOf(Outcome.NOT_RUN to RefusalReason.STORE_UNAVAILABLE)
            fixture.onAppended(written).filterIsInstance<CallEffect.Run>().shouldBeEmpty()
            val release = fixture.advance(1.seconds).single().shouldBeInstanceOf<CallEffect.Append>()
            release.record.entries.single().shouldBeInstanceOf<JournalEntry.Released>()
        }

        test("a sealed journal ends the epoch: no call is sent and callers are refused as stale") {
            val fixture = Fixture()
            fixture.call()
            val effects = fixture.onAppended(conflict(JournalRecord.Seal(WriterNonce("other"), InstanceId("other"))))
            effects.outcomes() shouldBe listOf(Outcome.NOT_RUN to RefusalReason.STALE)
            effects.last() shouldBe CallEffect.EpochLost
            fixture.call().outcomes() shouldBe listOf(Outcome.NOT_RUN to RefusalReason.STALE)
        }

        test("a batch of another writer in this epoch is reported as an invariant violation, and no call is sent") {
            val fixture = Fixture()
            fixture.call()
            val foreign = JournalRecord.Batch(WriterNonce("other"), WallTime(0), emptyList())
            fixture.onAppended(conflict(foreign)).outcomes() shouldBe listOf(Outcome.NOT_RUN to RefusalReason.STALE)
            fixture.violations shouldBe listOf(CallInvariant.FOREIGN_BATCH)
        }

        test("a call that misses its deadline ends as unknown, and a repeat gets the late answer") {
            val fixture = Fixture()
            fixture.callAndSend()
            fixture.advance(11.seconds).outcomes() shouldBe listOf(Outcome.UNKNOWN to RefusalReason.DEADLINE)
            fixture.onResult(RunResult.Answered(answer)).replayedFlags().shouldBeEmpty()
            fixture.call().replayedFlags() shouldBe listOf(true)
        }

        test("a call with an uncertain result is never sent again, one that was not run may be claimed again") {
            val uncertain = Fixture()
            uncertain.callAndSend()
            uncertain.onResult(RunResult.Uncertain("lost")).outcomes() shouldBe
                listOf(Outcome.UNKNOWN to RefusalReason.UPSTREAM_ERROR)
            uncertain.call().outcomes() shouldBe listOf(Outcome.UNKNOWN to RefusalReason.PEER_LOST)
            val refused = Fixture()
            refused.callAndSend()
            refused.onResult(RunResult.NotRun("busy")).outcomes() shouldBe
                listOf(Outcome.NOT_RUN to RefusalReason.UPSTREAM_ERROR)
            refused.advance(1.seconds)
            refused.onAppended(written)
            refused.advance(1.seconds)
            refused.call().last().shouldBeInstanceOf<CallEffect.Append>()
        }

        test("a claim read without outcome is unknown, an answered one is replayed, a released one is new") {
            val hash = RequestHash.of("POST", "/defects", "report".toByteArray())
            val claimed = JournalEntry.Claimed(key, hash)
            val entries = listOf(claimed, JournalEntry.Answered(key, hash, answer), JournalEntry.Released(key))
            val effects = (1..3).map { count ->
                val read = if (count == 3) listOf(claimed, entries[2]) else entries.take(count)
                val history = ClaimHistory()
                history.add(JournalRecord.Batch(WriterNonce("old"), WallTime(0), read)) { true }
                Fixture(history).call().single()
            }
            listOf(effects[0]).outcomes() shouldBe listOf(Outcome.UNKNOWN to RefusalReason.PEER_LOST)
            listOf(effects[1]).replayedFlags() shouldBe listOf(true)
            effects[2].shouldBeInstanceOf<CallEffect.Append>()
        }

        test("a repeat of a call whose answer was too large to store is refused as ran") {
            val fixture = Fixture()
            fixture.callAndSend()
            val large = UpstreamAnswer(200, emptyList(), ByteArray(CallSettings().maxAnswerBytes + 1))
            fixture.onResult(RunResult.Answered(large)).replayedFlags() shouldBe listOf(false)
            fixture.call().outcomes() shouldBe listOf(Outcome.RAN to RefusalReason.TOO_LARGE)
        }

        test("a key may be claimed again after its retention") {
            val fixture = Fixture()
            fixture.callAndSend()
            fixture.onResult(RunResult.Answered(answer))
            fixture.advance(59.seconds)
            fixture.onAppended(written)
            fixture.call().replayedFlags() shouldBe listOf(true)
            fixture.advance(2.hours)
            fixture.call().single().shouldBeInstanceOf<CallEffect.Append>()
        }
    })
