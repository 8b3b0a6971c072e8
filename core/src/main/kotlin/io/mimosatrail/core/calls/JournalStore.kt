package io.mimosatrail.core.calls

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import io.mimosatrail.core.id.Epoch
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoredValue

/** The store gave no usable reply. The whole operation may be retried. */
data class StoreFault(val detail: String)

/** Reads, seals and trims the journals of one service. */
internal class JournalStore(private val keys: CallKeys, private val store: StoreCall) {
    /**
     * Seals the journal of [epoch] at its first empty sequence, so that nothing can be appended to it afterwards. Does
     * nothing if it is sealed already.
     */
    suspend fun seal(epoch: Epoch, by: InstanceId, nonce: WriterNonce): Result<Unit, StoreFault> =
        findEnd(epoch).andThen { end ->
            if (end == null) Ok(Unit) else seal(epoch, end, CallCodec.encode(JournalRecord.Seal(nonce, by)))
        }

    private suspend fun seal(epoch: Epoch, end: Long, seal: ByteArray): Result<Unit, StoreFault> {
        var sequence = end
        while (true) {
            val reply = store(StoreCommand.Put(keys.record(epoch, sequence), seal, expected = ABSENT))
            val isSealed = reply is StoreReply.Written || (reply is StoreReply.Conflict && reply.current.isSeal())
            if (isSealed) return Ok(Unit)
            if (reply !is StoreReply.Conflict) return Err(StoreFault("epoch $epoch was not sealed: $reply"))
            sequence++
        }
    }

    /** Adds the claims in the sealed journal of [epoch] whose key passes [accepts] to [history]. */
    suspend fun read(epoch: Epoch, history: ClaimHistory, accepts: (ClaimKey) -> Boolean): Result<Unit, StoreFault> =
        scan(epoch) { _, record -> if (record is JournalRecord.Batch) history.add(record, accepts) }

    /**
     * Deletes up to one page of records written before [bound] from the sealed journal of [epoch], oldest first. The
     * seal is never deleted, so that a late append finds its sequence taken. Returns true if only the seal is left.
     */
    suspend fun trim(epoch: Epoch, bound: WallTime): Result<Boolean, StoreFault> {
        val page = page(epoch, after = null, TRIM_RECORDS).getOrElse { return Err(it) }
        for (value in page.values.dropLast(1)) {
            val record = CallCodec.record(value.value)
            if (record !is JournalRecord.Batch || record.written >= bound) return Ok(false)
            delete(epoch, keys.sequenceOf(value.key)).onFailure { return Err(it) }
        }
        return Ok(!page.more && page.values.lastOrNull().isSeal())
    }

    /** Deletes one record. Callers delete in order of sequence, so that the remaining records have no gap. */
    suspend fun delete(epoch: Epoch, sequence: Long): Result<Unit, StoreFault> =
        when (val reply = store(StoreCommand.Delete(keys.record(epoch, sequence), expected = null))) {
            is StoreReply.Written -> Ok(Unit)
            else -> Err(StoreFault("a record of epoch $epoch was not deleted: $reply"))
        }

    /**
     * The first empty sequence; null if the journal is sealed. As records have no gap, the last one is found by an
     * exponential search from the first record, followed by a binary search.
     */
    private suspend fun findEnd(epoch: Epoch): Result<Long?, StoreFault> {
        val first = page(epoch, after = null, limit = 1).getOrElse { return Err(it) }.values.firstOrNull()
        first ?: return Ok(0)
        var last: StoredValue = first
        var step = 1L
        while (step > 0) {
            val next = get(epoch, keys.sequenceOf(last.key) + step).getOrElse { return Err(it) }
            step = if (next == null) -(step / 2) else step * 2
            last = next ?: last
        }
        return bisectEnd(epoch, last, -step)
    }

    /** Finds the end by binary search, beginning with the record [step] sequences after [known]. */
    private suspend fun bisectEnd(epoch: Epoch, known: StoredValue, step: Long): Result<Long?, StoreFault> {
        var last = known
        var distance = step
        while (distance > 0) {
            val next = get(epoch, keys.sequenceOf(last.key) + distance).getOrElse { return Err(it) }
            if (next == null) distance /= 2 else last = next
        }
        return Ok(if (last.isSeal()) null else keys.sequenceOf(last.key) + 1)
    }

    private suspend fun get(epoch: Epoch, sequence: Long): Result<StoredValue?, StoreFault> =
        when (val reply = store(StoreCommand.Get(keys.record(epoch, sequence)))) {
            is StoreReply.Value -> Ok(reply.value)
            else -> Err(StoreFault("the journal of epoch $epoch was not read: $reply"))
        }

    private suspend fun scan(epoch: Epoch, visit: (StoreKey, JournalRecord) -> Unit): Result<Unit, StoreFault> {
        var after: StoreKey? = null
        do {
            val page = page(epoch, after, PAGE_RECORDS).getOrElse { return Err(it) }
            for (value in page.values) {
                val record = CallCodec.record(value.value) ?: return Err(StoreFault("invalid record at ${value.key}"))
                visit(value.key, record)
            }
            after = page.values.lastOrNull()?.key
        } while (page.more)
        return Ok(Unit)
    }

    private suspend fun page(epoch: Epoch, after: StoreKey?, limit: Int): Result<StoreReply.Values, StoreFault> =
        when (val reply = store(StoreCommand.List(keys.journal(epoch), after, limit))) {
            is StoreReply.Values -> Ok(reply)
            else -> Err(StoreFault("the journal of epoch $epoch was not read: $reply"))
        }

    private fun StoredValue?.isSeal() = this != null && CallCodec.record(value) is JournalRecord.Seal

    private companion object {
        const val PAGE_RECORDS = 100
        const val TRIM_RECORDS = 20
    }
}
