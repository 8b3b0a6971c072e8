package io.mimosatrail.bench.capacity

import io.mimosatrail.core.calls.AnswerHeader
import io.mimosatrail.core.calls.CallCodec
import io.mimosatrail.core.calls.ClaimKey
import io.mimosatrail.core.calls.JournalEntry
import io.mimosatrail.core.calls.JournalRecord
import io.mimosatrail.core.calls.RequestHash
import io.mimosatrail.core.calls.UpstreamAnswer
import io.mimosatrail.core.calls.WallTime
import io.mimosatrail.core.id.IdempotencyKey
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.id.WriterNonce

private const val ANSWER_BYTES = 200
private val callCounts = listOf(1, 10, 50, 100, 200)

/** Size and coding time of journal records by number of calls in a group commit. */
internal fun journalSeries(quick: Boolean): List<Series> {
    val times = if (quick) 100 else 1_000
    return listOf(
        Series("journal claims and outcomes", "bytes", "call", callCounts) { recordBytes(it) },
        Series("journal coding", "us", "call", callCounts, WARM_UPS) { calls ->
            threadMicros(times) { checkNotNull(CallCodec.record(CallCodec.encode(record(calls)))) }
        },
    )
}

private fun recordBytes(calls: Int): Double = CallCodec.encode(record(calls)).size.toDouble()

private fun record(calls: Int): JournalRecord {
    val entries = List(calls) { number ->
        val key = ClaimKey(WorkspaceId("norrland-crews"), IdempotencyKey("report-kiruna-2026-12-04-$number"))
        val answer =
            UpstreamAnswer(201, listOf(AnswerHeader("content-type", "application/json")), ByteArray(ANSWER_BYTES))
        listOf(JournalEntry.Claimed(key, hash), JournalEntry.Answered(key, hash, answer))
    }
    return JournalRecord.Batch(WriterNonce("defects-1-1y2p0ij32e8e7-1a2b"), WallTime(1), entries.flatten())
}

private val hash = RequestHash.of("POST", "/reports", ByteArray(1))
