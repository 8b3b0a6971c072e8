package io.mimosatrail.core.calls

import io.mimosatrail.core.id.Epoch
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.SlotId
import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.net.PeerAddress
import kotlinx.serialization.Serializable

/** A process that may append to the journal of [epoch]. [nonce] names the process's registration. */
@Serializable
data class SlotOwner(val epoch: Epoch, val instance: InstanceId, val address: PeerAddress, val nonce: WriterNonce)

/**
 * Who owns the slots of one service; changed only by compare-and-swap.
 *
 * [slots] holds the owner's epoch at each slot's number. [sealed] lists ended epochs whose journals still hold claims
 * within retention. The number of slots never changes, since keys would move between journals.
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

    /** Slots that each owner may hold when they are spread evenly. */
    fun share(): Int = if (owners.isEmpty()) slots.size else (slots.size + owners.size - 1) / owners.size

    /** Adds an owner with an epoch of its own. */
    fun register(instance: InstanceId, address: PeerAddress, nonce: WriterNonce): SlotTable = copy(
        nextEpoch = nextEpoch.next(),
        owners = owners + SlotOwner(nextEpoch, instance, address, nonce),
    )

    /** Removes owners whose journals are sealed; their slots become free. */
    fun retire(epochs: Set<Epoch>): SlotTable = copy(
        slots = slots.map { it?.takeUnless(epochs::contains) },
        owners = owners.filterNot { it.epoch in epochs },
        sealed = sealed + owners.map { it.epoch }.filter(epochs::contains),
    )

    /** Gives free slots to [epoch], up to its share. */
    fun takeFree(epoch: Epoch): SlotTable {
        var room = share() - slotsOf(epoch).size
        return copy(slots = slots.map { if (it == null && room-- > 0) epoch else it })
    }

    /** Drops an epoch whose journal holds nothing but its seal. */
    fun forget(epoch: Epoch): SlotTable = copy(sealed = sealed - epoch)
}
