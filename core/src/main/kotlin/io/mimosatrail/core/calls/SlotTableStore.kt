package io.mimosatrail.core.calls

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreReply

/** Expected revision of a key that must not exist yet. */
internal val ABSENT = StoreRevision(0)

private const val UPDATE_ATTEMPTS = 5

/** Reads and changes the [SlotTable] of one service. */
class SlotTableStore(private val keys: CallKeys, private val store: StoreCall) {
    private class Read(val table: SlotTable?, val revision: StoreRevision)

    /** The current table; null if there is none yet. */
    suspend fun read(): Result<SlotTable?, StoreFault> {
        val read = readRevision().getOrElse { return Err(it) }
        return Ok(read.table)
    }

    /**
     * Changes the table by compare-and-swap and returns the changed table. [change] must be idempotent: it runs again
     * after a concurrent change, or after a write whose reply was lost but that may have taken effect.
     */
    internal suspend fun update(change: (SlotTable?) -> SlotTable): Result<SlotTable, StoreFault> {
        repeat(UPDATE_ATTEMPTS) {
            val read = readRevision().getOrElse { return Err(it) }
            val changed = change(read.table)
            if (changed == read.table || write(changed, read.revision)) return Ok(changed)
        }
        return Err(StoreFault("the slot table was not written in $UPDATE_ATTEMPTS attempts"))
    }

    /** True if the store confirmed the write. */
    private suspend fun write(table: SlotTable, expected: StoreRevision): Boolean =
        store(StoreCommand.Put(keys.table, CallCodec.encode(table), expected)) is StoreReply.Written

    private suspend fun readRevision(): Result<Read, StoreFault> {
        val reply = store(StoreCommand.Get(keys.table))
        if (reply !is StoreReply.Value) return Err(StoreFault("the slot table was not read: $reply"))
        val value = reply.value ?: return Ok(Read(null, ABSENT))
        val table = CallCodec.table(value.value) ?: return Err(StoreFault("the slot table is not readable"))
        return Ok(Read(table, value.revision))
    }
}
