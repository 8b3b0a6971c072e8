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

/** The store gave no usable answer; the step may be tried again as a whole. */
data class StoreFault(val detail: String)

/** Reads, seals and trims the journals of one service. */
internal class JournalStore(private val keys: CallKeys, private val store: StoreCall) {
    /**
     * Seals the journal of [epoch] at its first empty sequence, so that nothing can be appended to it afterwards.
     * Harmless where it is sealed already.
     */
    suspend fun seal(epoch: Epoch, by: InstanceId, nonce: WriterNonce): Result<Unit, StoreFault> =
        end(epoch).andThen { end ->
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

    /** Adds the claims of the sealed journal of [epoch] to [history]. */
    suspend fun read(epoch: Epoch, history: ClaimHistory, accepts: (ClaimKey) -> Boolean): Result<Unit, StoreFault> =
        scan(epoch) { _, record -> if (record is JournalRecord.Batch) history.add(record, accepts) }

    /**
     * Deletes records of [epoch] that were written before [bound], oldest first. The last record stays, since an append
     * must find its sequence taken. Answers true where nothing but the seal is left.
     */
    suspend fun trim(epoch: Epoch, bound: WallTime): Result<Boolean, StoreFault> {
        val page = page(epoch, after = null).getOrElse { return Err(it) }
        for (value in page.values.dropLast(1)) {
            val record = CallCodec.record(value.value)
            if (record !is JournalRecord.Batch || record.written >= bound) return Ok(false)
            val reply = store(StoreCommand.Delete(value.key, value.revision))
            if (reply !is StoreReply.Written) return Err(StoreFault("a record was not deleted: $reply"))
        }
        return Ok(!page.more && page.values.lastOrNull().isSeal())
    }

    /** The first empty sequence; null where the journal is sealed. */
    private suspend fun end(epoch: Epoch): Result<Long?, StoreFault> {
        var end: Long? = 0L
        scan(epoch) { key, record -> end = if (record is JournalRecord.Seal) null else keys.sequenceOf(key) + 1 }
            .onFailure { return Err(it) }
        return Ok(end)
    }

    private suspend fun scan(epoch: Epoch, visit: (StoreKey, JournalRecord) -> Unit): Result<Unit, StoreFault> {
        var after: StoreKey? = null
        do {
            val page = page(epoch, after).getOrElse { return Err(it) }
            for (value in page.values) {
                val record = CallCodec.record(value.value) ?: return Err(StoreFault("${value.key} is not readable"))
                visit(value.key, record)
            }
            after = page.values.lastOrNull()?.key
        } while (page.more)
        return Ok(Unit)
    }

    private suspend fun page(epoch: Epoch, after: StoreKey?): Result<StoreReply.Values, StoreFault> =
        when (val reply = store(StoreCommand.List(keys.journal(epoch), after, PAGE_RECORDS))) {
            is StoreReply.Values -> Ok(reply)
            else -> Err(StoreFault("the journal of epoch $epoch was not read: $reply"))
        }

    private fun StoredValue?.isSeal() = this != null && CallCodec.record(value) is JournalRecord.Seal

    private companion object {
        const val PAGE_RECORDS = 20
    }
}
