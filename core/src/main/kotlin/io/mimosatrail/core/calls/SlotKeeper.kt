package io.mimosatrail.core.calls

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import io.mimosatrail.core.id.Epoch
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.SlotId
import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreReply

/** What an owner holds after [SlotKeeper.takeOver]. */
sealed interface SlotChange {
    /** Serve [slots] too, whose earlier claims are in [history]; all slots of the owner are [held]. */
    class Acquired(val table: SlotTable, val held: Set<SlotId>, val slots: Set<SlotId>, val history: ClaimHistory) :
        SlotChange

    /** The owner's journal is sealed: its epoch is over. */
    data object Lost : SlotChange
}

/**
 * Registers one process as a slot owner of [service] and takes over the slots of owners that are gone.
 *
 * A lease only tells whom to take over from; that an old owner can no longer claim rests on the seal alone. Calls must
 * not overlap.
 */
class SlotKeeper(
    service: ServiceId,
    private val self: InstanceId,
    private val address: PeerAddress,
    store: StoreCall,
    private val nonces: () -> WriterNonce,
) {
    private val keys = CallKeys(service)
    private val call = store
    private val journals = JournalStore(keys, store)
    private val tables = SlotTableStore(keys, store)

    /** Adds this process to the owners under [nonce], with [slotCount] slots where the table is new. */
    suspend fun register(nonce: WriterNonce, slotCount: Int): Result<Epoch, StoreFault> =
        tables.update { table -> (table ?: SlotTable(List(slotCount) { null })).with(nonce) }
            .map { table -> table.owners.first { it.nonce == nonce }.epoch }

    /** Seals the journals of owners that are gone, takes free slots up to the owner's share and reads their claims. */
    suspend fun takeOver(epoch: Epoch, served: Set<SlotId>): Result<SlotChange, StoreFault> =
        tables.read().andThen { table ->
            if (table?.owner(epoch) == null) Ok(SlotChange.Lost) else takeOver(table, epoch, served)
        }

    /** Ends [epoch] on purpose: seals its journal and frees its slots. */
    suspend fun retire(epoch: Epoch): Result<Unit, StoreFault> {
        journals.seal(epoch, self, nonces()).onFailure { return Err(it) }
        return tables.update {
            checkNotNull(it) { "a table with owners is never deleted" }.retire(setOf(epoch))
        }.map { }
    }

    /**
     * Seals the journal of [epoch] and begins another under [nonce] that holds an even share of the slots; the rest is
     * free. In one change, since another owner would otherwise take all of them.
     */
    suspend fun renew(epoch: Epoch, nonce: WriterNonce): Result<Epoch, StoreFault> = seal(setOf(epoch))
        .andThen {
            tables.update { checkNotNull(it) { "a table with owners is never deleted" }.renew(epoch, nonce) }
        }
        .map { table -> table.owners.first { it.nonce == nonce }.epoch }

    /** Deletes a record of the own [epoch]. */
    suspend fun delete(epoch: Epoch, sequence: Long): Result<Unit, StoreFault> = journals.delete(epoch, sequence)

    /** Deletes a page of records written before [bound] from the journal of [table] that was sealed first. */
    suspend fun trimSealed(table: SlotTable, bound: WallTime): Result<Unit, StoreFault> {
        val oldest = table.sealed.firstOrNull() ?: return Ok(Unit)
        return journals.trim(oldest, bound).andThen { isEmpty ->
            if (isEmpty) tables.update { it.orEmpty(table).forget(oldest) }.map { } else Ok(Unit)
        }
    }

    private suspend fun takeOver(table: SlotTable, epoch: Epoch, served: Set<SlotId>): Result<SlotChange, StoreFault> =
        gone(table, epoch)
            .andThen { gone -> seal(gone).andThen { tables.update { it.orEmpty(table).takeOver(epoch, gone) } } }
            .andThen { changed ->
                if (changed.owner(epoch) == null) Ok(SlotChange.Lost) else load(changed, epoch, served)
            }

    private suspend fun seal(epochs: Set<Epoch>): Result<Unit, StoreFault> {
        epochs.forEach { epoch -> journals.seal(epoch, self, nonces()).onFailure { return Err(it) } }
        return Ok(Unit)
    }

    private fun SlotTable.with(nonce: WriterNonce): SlotTable =
        if (owners.any { it.nonce == nonce }) this else register(self, address, nonce)

    private fun SlotTable.renew(old: Epoch, nonce: WriterNonce): SlotTable {
        if (owners.any { it.nonce == nonce }) return this
        val renewed = retire(setOf(old)).register(self, address, nonce)
        return renewed.takeFree(renewed.owners.last().epoch)
    }

    private fun SlotTable?.orEmpty(template: SlotTable): SlotTable =
        this ?: SlotTable(List(template.slots.size) { null })

    private fun SlotTable.takeOver(epoch: Epoch, gone: Set<Epoch>): SlotTable {
        val retired = retire(gone)
        return if (retired.owner(epoch) == null) retired else retired.takeFree(epoch)
    }

    private suspend fun gone(table: SlotTable, self: Epoch): Result<Set<Epoch>, StoreFault> {
        val reply = call(StoreCommand.List(keys.owners, limit = MAX_OWNERS))
        if (reply !is StoreReply.Values) return Err(StoreFault("the live owners were not read: $reply"))
        val live = reply.values.map { it.key }.toSet()
        return Ok(table.owners.filter { it.epoch != self && keys.owner(it.nonce) !in live }.map { it.epoch }.toSet())
    }

    private suspend fun load(table: SlotTable, epoch: Epoch, served: Set<SlotId>): Result<SlotChange, StoreFault> {
        val held = table.slotsOf(epoch)
        val added = held - served
        val history = ClaimHistory()
        if (added.isEmpty()) return Ok(SlotChange.Acquired(table, held, added, history))
        for (sealed in table.sealed) {
            journals.read(sealed, history) { it.slotOf(table.slots.size) in added }.onFailure { return Err(it) }
        }
        return Ok(SlotChange.Acquired(table, held, added, history))
    }

    private companion object {
        const val MAX_OWNERS = 1_000
    }
}
