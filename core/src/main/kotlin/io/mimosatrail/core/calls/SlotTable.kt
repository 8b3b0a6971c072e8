package io.mimosatrail.core.calls

import io.mimosatrail.core.id.Epoch
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.SlotId
import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.net.PeerAddress
import kotlinx.serialization.Serializable

/** A process that may append to the journal of [epoch]. Its registration in the store is kept under [nonce]. */
@Serializable
data class SlotOwner(val epoch: Epoch, val instance: InstanceId, val address: PeerAddress, val nonce: WriterNonce)

/**
 * Assigns the hash slots of one service to their owners. Changed only by compare-and-swap.
 *
 * [slots] holds, for each slot number, the epoch of the slot's owner, or null if the slot is free. [sealed] lists the
 * ended epochs, in order of their end, whose journals still hold claims within retention. The number of slots never
 * changes, since keys would otherwise move between journals.
 */
@Serializable
data class SlotTable(
    val slots: List<Epoch?>,
    val nextEpoch: Epoch = Epoch(1),
    val owners: List<SlotOwner> = emptyList(),
    val sealed: List<Epoch> = emptyList(),
) {
    fun owner(epoch: Epoch): SlotOwner? = owners.firstOrNull { it.epoch == epoch }

    fun ownerOf(slot: SlotId): SlotOwner? = slots.getOrNull(slot.value)?.let(::owner)

    fun slotsOf(epoch: Epoch): Set<SlotId> = slots.indices.filter { slots[it] == epoch }.map(::SlotId).toSet()

    /** Maximum number of slots per owner when slots are spread evenly. */
    fun evenShare(): Int = if (owners.isEmpty()) slots.size else (slots.size + owners.size - 1) / owners.size

    /** Adds an owner with a new epoch and no slots. */
    fun register(instance: InstanceId, address: PeerAddress, nonce: WriterNonce): SlotTable = copy(
        nextEpoch = nextEpoch.next(),
        owners = owners + SlotOwner(nextEpoch, instance, address, nonce),
    )

    /** Removes the owners of [epochs], whose journals must be sealed already, and frees their slots. */
    fun retire(epochs: Set<Epoch>): SlotTable = copy(
        slots = slots.map { it?.takeUnless(epochs::contains) },
        owners = owners.filterNot { it.epoch in epochs },
        sealed = sealed + owners.map { it.epoch }.filter(epochs::contains),
    )

    /** Assigns free slots to [epoch], up to its even share. */
    fun assignFreeSlots(epoch: Epoch): SlotTable {
        var remaining = evenShare() - slotsOf(epoch).size
        return copy(slots = slots.map { if (it == null && remaining-- > 0) epoch else it })
    }

    /** Removes an ended epoch whose journal contains only its seal. */
    fun removeSealed(epoch: Epoch): SlotTable = copy(sealed = sealed - epoch)
}
