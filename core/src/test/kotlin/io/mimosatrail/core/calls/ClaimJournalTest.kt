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
private val answer = KeptAnswer(201, emptyList(), "7".toByteArray())
private val written = StoreReply.Written(StoreRevision(1))

/** A journal that serves its one slot, and the time it sees. */
private class Fixture(history: ClaimHistory = ClaimHistory()) {
    private var elapsed = Duration.ZERO
    private var attempts = 0L
    val violations = mutableListOf<CallInvariant>()
    val journal = ClaimJournal(Epoch(1), InstanceId("sidecar"), CallSettings(), { WriterNonce("n") }, violations::add)
        .apply { admit(setOf(SlotId(0)), 1, history) }

    val time get() = CallTime(Moment(0) + elapsed, WallTime(elapsed.inWholeMilliseconds))

    fun pass(duration: Duration): List<CallEffect> {
        elapsed += duration
        return journal.tick(time)
    }

    fun call(body: String = "report", patience: Duration = 10.seconds): List<CallEffect> {
        val hash = RequestHash.of("POST", "/defects", body.toByteArray())
        return journal.onCall(CallAttempt(AttemptId(attempts++), key, hash, time.now + patience), time)
    }

    fun append(reply: StoreReply): List<CallEffect> = journal.onAppended(reply, time)

    fun result(result: RunResult): List<CallEffect> = journal.onResult(AttemptId(0), result, time)

    /** Runs the first call of the key up to the upstream. */
    fun send() {
        call()
        append(written).single() shouldBe CallEffect.Run(AttemptId(0))
    }
}

private fun List<CallEffect>.refusals(): List<Refusal> =
    filterIsInstance<CallEffect.Reply>().map { it.decision }.filterIsInstance<CallDecision.Refuse>().map { it.refusal }

private fun List<CallEffect>.ends() = refusals().map { it.outcome to it.reason }

private fun List<CallEffect>.replays() = filterIsInstance<CallEffect.Reply>()
    .map { it.decision }
    .filterIsInstance<CallDecision.Answer>()
    .map { it.replayed }

private fun standing(record: JournalRecord) =
    StoreReply.Conflict(StoredValue(StoreKey("k"), CallCodec.encode(record), StoreRevision(1), StoreRevision(1)))

class ClaimJournalTest :
    FunSpec({
        test("a call is sent only after its claim is stored, once, and its answer is replayed") {
            val fixture = Fixture()
            fixture.call().single().shouldBeInstanceOf<CallEffect.Append>()
            fixture.append(written) shouldBe listOf(CallEffect.Run(AttemptId(0)))
            fixture.result(RunResult.Answered(answer)).replays() shouldBe listOf(false)
            fixture.result(RunResult.Answered(answer)).shouldBeEmpty()
            fixture.call().replays() shouldBe listOf(true)
            fixture.violations.shouldBeEmpty()
        }

        test("a repeat waits for the first, and another body is refused without effect on it") {
            val fixture = Fixture()
            fixture.send()
            fixture.call().shouldBeEmpty()
            fixture.call("other").ends() shouldBe listOf(Outcome.NOT_RUN to RefusalReason.CONFLICT)
            fixture.result(RunResult.Answered(answer)).replays() shouldBe listOf(false, true)
        }

        test("a store that refuses the claim means not run, and the key is fresh again") {
            val fixture = Fixture()
            fixture.call()
            fixture.append(StoreReply.NotDone("down")).ends() shouldBe
                listOf(Outcome.NOT_RUN to RefusalReason.STORE_UNAVAILABLE)
            fixture.pass(1.seconds)
            fixture.call().single().shouldBeInstanceOf<CallEffect.Append>().sequence shouldBe 0
        }

        test("a lost answer of the store is settled by the same record, found by its nonce") {
            val fixture = Fixture()
            val first = fixture.call().single().shouldBeInstanceOf<CallEffect.Append>()
            fixture.append(StoreReply.Uncertain("lost")).shouldBeEmpty()
            fixture.pass(1.seconds).single() shouldBe first
            fixture.append(StoreReply.NotDone("busy")).shouldBeEmpty()
            fixture.pass(500.milliseconds).single() shouldBe first
            fixture.append(standing(first.record)) shouldBe listOf(CallEffect.Run(AttemptId(0)))
        }

        test("a claim whose caller was told not run is never sent when the store comes back") {
            val fixture = Fixture()
            fixture.call()
            fixture.append(StoreReply.Uncertain("lost"))
            fixture.pass(3.seconds).ends() shouldBe listOf(Outcome.NOT_RUN to RefusalReason.STORE_UNAVAILABLE)
            fixture.append(written).filterIsInstance<CallEffect.Run>().shouldBeEmpty()
            val release = fixture.pass(1.seconds).single().shouldBeInstanceOf<CallEffect.Append>()
            release.record.entries.single().shouldBeInstanceOf<JournalEntry.Released>()
        }

        test("a sealed journal ends the epoch: nothing is sent, and its callers may ask the new owner") {
            val fixture = Fixture()
            fixture.call()
            val effects = fixture.append(standing(JournalRecord.Seal(WriterNonce("other"), InstanceId("other"))))
            effects.ends() shouldBe listOf(Outcome.NOT_RUN to RefusalReason.STALE)
            effects.last() shouldBe CallEffect.EpochLost
            fixture.call().ends() shouldBe listOf(Outcome.NOT_RUN to RefusalReason.STALE)
        }

        test("another writer's batch in this epoch is a broken invariant, and nothing is sent") {
            val fixture = Fixture()
            fixture.call()
            val foreign = JournalRecord.Batch(WriterNonce("other"), WallTime(0), emptyList())
            fixture.append(standing(foreign)).ends() shouldBe listOf(Outcome.NOT_RUN to RefusalReason.STALE)
            fixture.violations shouldBe listOf(CallInvariant.FOREIGN_BATCH)
        }

        test("a caller that leaves before the answer is told unknown, and finds the late answer later") {
            val fixture = Fixture()
            fixture.send()
            fixture.pass(11.seconds).ends() shouldBe listOf(Outcome.UNKNOWN to RefusalReason.DEADLINE)
            fixture.result(RunResult.Answered(answer)).replays().shouldBeEmpty()
            fixture.call().replays() shouldBe listOf(true)
        }

        test("an uncertain end is never sent again, and a refused one may be") {
            val uncertain = Fixture()
            uncertain.send()
            uncertain.result(RunResult.Uncertain("lost")).ends() shouldBe
                listOf(Outcome.UNKNOWN to RefusalReason.UPSTREAM_ERROR)
            uncertain.call().ends() shouldBe listOf(Outcome.UNKNOWN to RefusalReason.PEER_LOST)
            val refused = Fixture()
            refused.send()
            refused.result(RunResult.NotRun("busy")).ends() shouldBe
                listOf(Outcome.NOT_RUN to RefusalReason.UPSTREAM_ERROR)
            refused.pass(1.seconds)
            refused.append(written)
            refused.pass(1.seconds)
            refused.call().last().shouldBeInstanceOf<CallEffect.Append>()
        }

        test("a claim read without outcome is unknown, an answered one is replayed, a released one is fresh") {
            val hash = RequestHash.of("POST", "/defects", "report".toByteArray())
            val claimed = JournalEntry.Claimed(key, hash)
            val entries = listOf(claimed, JournalEntry.Answered(key, hash, answer), JournalEntry.Released(key))
            val ends = (1..3).map { count ->
                val read = if (count == 3) listOf(claimed, entries[2]) else entries.take(count)
                val history = ClaimHistory()
                history.add(JournalRecord.Batch(WriterNonce("old"), WallTime(0), read)) { true }
                Fixture(history).call().single()
            }
            listOf(ends[0]).ends() shouldBe listOf(Outcome.UNKNOWN to RefusalReason.PEER_LOST)
            listOf(ends[1]).replays() shouldBe listOf(true)
            ends[2].shouldBeInstanceOf<CallEffect.Append>()
        }

        test("an answer too large to keep is told as ran") {
            val fixture = Fixture()
            fixture.send()
            val large = KeptAnswer(200, emptyList(), ByteArray(CallSettings().maxAnswerBytes + 1))
            fixture.result(RunResult.Answered(large)).replays() shouldBe listOf(false)
            fixture.call().ends() shouldBe listOf(Outcome.RAN to RefusalReason.TOO_LARGE)
        }

        test("a key is forgotten after its retention") {
            val fixture = Fixture()
            fixture.send()
            fixture.result(RunResult.Answered(answer))
            fixture.pass(59.seconds)
            fixture.append(written)
            fixture.call().replays() shouldBe listOf(true)
            fixture.pass(2.hours)
            fixture.call().single().shouldBeInstanceOf<CallEffect.Append>()
        }
    })
