package io.mimosatrail.core.calls

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import io.mimosatrail.core.id.Epoch
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.LeaseId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.SlotId
import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreReply
import kotlin.time.Duration.Companion.seconds

/** What one refresh of a [SlotSession] found. */
sealed interface SlotStep {
    /** A new epoch began; it holds no slots yet. */
    data class Began(val epoch: Epoch) : SlotStep

    /** The epoch goes on. */
    class Continued(val change: SlotChange.Acquired) : SlotStep

    /** The epoch is over; the next refresh begins another. */
    data object Ended : SlotStep
}

/** Keeps one process a slot owner: its lease, its registration and its slots. Calls must not overlap. */
class SlotSession(
    service: ServiceId,
    private val self: InstanceId,
    address: PeerAddress,
    private val store: StoreCall,
    private val nonces: () -> WriterNonce,
) {
    private val keys = CallKeys(service)
    private val keeper = SlotKeeper(service, self, address, store, nonces)
    private var nonce = nonces()
    private var ended: Epoch? = null
    private var lease: LeaseId? = null
    private var isAnnounced = false

    /** Renews the lease, then begins an epoch or looks for slots to take over; [served] are served already. */
    suspend fun refresh(epoch: Epoch?, served: Set<SlotId>, slotCount: Int): Result<SlotStep, StoreFault> {
        keepAlive().onFailure { return Err(it) }
        if (epoch == null) return begin(slotCount).map { SlotStep.Began(it) }
        return keeper.takeOver(epoch, served).map { change ->
            when (change) {
                is SlotChange.Acquired -> SlotStep.Continued(change)
                is SlotChange.Lost -> SlotStep.Ended
            }
        }
    }

    /**
     * Notes that [epoch] is over, lost or given up. The next one is registered under a new nonce and lease, so that
     * nothing of the old one looks alive; its journal is sealed by then.
     */
    fun onEnded(epoch: Epoch) {
        ended = epoch
        nonce = nonces()
        forgetLease()
    }

    /** Renews the lease only; for an owner that is about to leave. */
    suspend fun keepAlive(): Result<Unit, StoreFault> {
        lease?.let { renew(it).onFailure { fault -> return Err(fault) } }
        if (lease == null) grant().onFailure { return Err(it) }
        return if (isAnnounced) Ok(Unit) else announce()
    }

    /** Frees the slots of [epoch], or of the epoch that ended last, and gives the lease back. */
    suspend fun leave(epoch: Epoch?): Result<Unit, StoreFault> {
        val last = epoch ?: ended
        if (last != null) keeper.retire(last).onFailure { return Err(it) }
        lease?.let { store(StoreCommand.Revoke(it)) }
        return Ok(Unit)
    }

    /** Deletes a record of the own [epoch]. */
    suspend fun delete(epoch: Epoch, sequence: Long): Result<Unit, StoreFault> = keeper.delete(epoch, sequence)

    /** Deletes some records written before [bound] from the journal that was sealed first. */
    suspend fun trimSealed(table: SlotTable, bound: WallTime): Result<Unit, StoreFault> =
        keeper.trimSealed(table, bound)

    private suspend fun begin(slotCount: Int): Result<Epoch, StoreFault> {
        val last = ended ?: return keeper.register(nonce, slotCount)
        return keeper.renew(last, nonce)
    }

    private suspend fun renew(current: LeaseId): Result<Unit, StoreFault> =
        when (val reply = store(StoreCommand.Renew(current))) {
            is StoreReply.Lease -> Ok(Unit)
            is StoreReply.Conflict -> Ok(Unit).also { forgetLease() }
            else -> Err(StoreFault("the lease was not renewed: $reply"))
        }

    private fun forgetLease() {
        lease = null
        isAnnounced = false
    }

    private suspend fun grant(): Result<Unit, StoreFault> = when (val reply = store(StoreCommand.Grant(LEASE_TTL))) {
        is StoreReply.Lease -> Ok(Unit).also { lease = reply.id }
        else -> Err(StoreFault("no lease was granted: $reply"))
    }

    private suspend fun announce(): Result<Unit, StoreFault> {
        val put = StoreCommand.Put(keys.owner(nonce), self.value.toByteArray(), expected = null, lease = lease)
        return when (val reply = store(put)) {
            is StoreReply.Written -> Ok(Unit).also { isAnnounced = true }
            is StoreReply.Conflict -> Err(StoreFault("the lease ended")).also { forgetLease() }
            else -> Err(StoreFault("the owner was not announced: $reply"))
        }
    }

    companion object {
        /** After this time without renewal others may take an owner's slots. */
        val LEASE_TTL = 3.seconds
    }
}
