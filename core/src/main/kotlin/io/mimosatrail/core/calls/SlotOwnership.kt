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

/** Result of [SlotOwnership.takeOver]. */
sealed interface TakeoverResult {
    /**
     * The owner now owns the slots in [held]. It did not serve those in [added] before; [history] holds their earlier
     * claims.
     */
    class Acquired(val table: SlotTable, val held: Set<SlotId>, val added: Set<SlotId>, val history: ClaimHistory) :
        TakeoverResult

    /** The owner is no longer in the slot table: its journal is sealed and its epoch is over. */
    data object EpochLost : TakeoverResult
}

/**
 * Registers one process as a slot owner of [service] and takes over the slots of owners whose lease ended.
 *
 * The lease only determines which owners to take over from. Only the seal on an owner's journal guarantees that this
 * owner stores no further claims. Calls must not overlap.
 */
class SlotOwnership(
    service: ServiceId,
    private val self: InstanceId,
    private val address: PeerAddress,
    store: StoreCall,
    private val nonces: () -> WriterNonce,
) {
    private val keys = CallKeys(service)
    private val callStore = store
    private val journals = JournalStore(keys, store)
    private val tables = SlotTableStore(keys, store)

    /** Adds this process to the owners under [nonce]. Creates the table with [slotCount] slots if there is none. */
    suspend fun register(nonce: WriterNonce, slotCount: Int): Result<Epoch, StoreFault> =
        tables.update { table -> (table ?: SlotTable(List(slotCount) { null })).registerOnce(nonce) }
            .map { table -> table.owners.first { it.nonce == nonce }.epoch }

    /**
     * Seals the journals of owners whose lease ended, assigns free slots to [epoch] up to an even share, and reads the
     * earlier claims of all its slots that are not in [served].
     */
    suspend fun takeOver(epoch: Epoch, served: Set<SlotId>): Result<TakeoverResult, StoreFault> =
        tables.read().andThen { table ->
            if (table?.owner(epoch) == null) Ok(TakeoverResult.EpochLost) else takeOver(table, epoch, served)
        }

    /** Ends this process's [epoch]: seals its journal and frees its slots. */
    suspend fun retire(epoch: Epoch): Result<Unit, StoreFault> {
        journals.seal(epoch, self, nonces()).onFailure { return Err(it) }
        return tables.update {
            checkNotNull(it) { "a table with owners is never deleted" }.retire(setOf(epoch))
        }.map { }
    }

    /**
     * Seals the journal of [epoch], frees its slots and registers another epoch under [nonce] that takes an even share
     * of the free slots. The table changes only once, since another owner could otherwise take all of the freed slots.
     */
    suspend fun replaceEpoch(epoch: Epoch, nonce: WriterNonce): Result<Epoch, StoreFault> = seal(setOf(epoch))
        .andThen {
            tables.update { checkNotNull(it) { "a table with owners is never deleted" }.replaceEpoch(epoch, nonce) }
        }
        .map { table -> table.owners.first { it.nonce == nonce }.epoch }

    /** Deletes the record at [sequence] from the journal of this process's [epoch]. */
    suspend fun delete(epoch: Epoch, sequence: Long): Result<Unit, StoreFault> = journals.delete(epoch, sequence)

    /**
     * Deletes a page of records written before [bound] from the journal that was sealed first among those in [table].
     * Removes the journal from the table once only its seal is left.
     */
    suspend fun trimSealed(table: SlotTable, bound: WallTime): Result<Unit, StoreFault> {
        val oldest = table.sealed.firstOrNull() ?: return Ok(Unit)
        return journals.trim(oldest, bound).andThen { isEmpty ->
            if (isEmpty) tables.update { it.orEmpty(table).removeSealed(oldest) }.map { } else Ok(Unit)
        }
    }

    private suspend fun takeOver(
        table: SlotTable,
        epoch: Epoch,
        served: Set<SlotId>,
    ): Result<TakeoverResult, StoreFault> = expiredOwners(table, epoch)
        .andThen { old -> seal(old).andThen { tables.update { it.orEmpty(table).takeOver(epoch, old) } } }
        .andThen { changed ->
            if (changed.owner(epoch) == null) Ok(TakeoverResult.EpochLost) else load(changed, epoch, served)
        }

    private suspend fun seal(epochs: Set<Epoch>): Result<Unit, StoreFault> {
        epochs.forEach { epoch -> journals.seal(epoch, self, nonces()).onFailure { return Err(it) } }
        return Ok(Unit)
    }

    private fun SlotTable.registerOnce(nonce: WriterNonce): SlotTable =
        if (owners.any { it.nonce == nonce }) this else register(self, address, nonce)

    private fun SlotTable.replaceEpoch(old: Epoch, nonce: WriterNonce): SlotTable {
        if (owners.any { it.nonce == nonce }) return this
        val replaced = retire(setOf(old)).register(self, address, nonce)
        return replaced.assignFreeSlots(replaced.owners.last().epoch)
    }

    /** This table, or one with the same number of slots as [template] and no owners if the table does not exist. */
    private fun SlotTable?.orEmpty(template: SlotTable): SlotTable =
        this ?: SlotTable(List(template.slots.size) { null })

    private fun SlotTable.takeOver(epoch: Epoch, expired: Set<Epoch>): SlotTable {
        val retired = retire(expired)
        return if (retired.owner(epoch) == null) retired else retired.assignFreeSlots(epoch)
    }

    /** Epochs of owners in [table], other than [self], whose registration ended with their lease. */
    private suspend fun expiredOwners(table: SlotTable, self: Epoch): Result<Set<Epoch>, StoreFault> {
        val reply = callStore(StoreCommand.List(keys.owners, limit = MAX_OWNERS))
        if (reply !is StoreReply.Values) return Err(StoreFault("the live owners were not read: $reply"))
        val live = reply.values.map { it.key }.toSet()
        return Ok(table.owners.filter { it.epoch != self && keys.owner(it.nonce) !in live }.map { it.epoch }.toSet())
    }

    private suspend fun load(table: SlotTable, epoch: Epoch, served: Set<SlotId>): Result<TakeoverResult, StoreFault> {
        val held = table.slotsOf(epoch)
        val added = held - served
        val history = ClaimHistory()
        if (added.isEmpty()) return Ok(TakeoverResult.Acquired(table, held, added, history))
        for (sealed in table.sealed) {
            journals.read(sealed, history) { it.slotOf(table.slots.size) in added }.onFailure { return Err(it) }
        }
        return Ok(TakeoverResult.Acquired(table, held, added, history))
    }

    private companion object {
        const val MAX_OWNERS = 1_000
    }
}
