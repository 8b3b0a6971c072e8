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

/** Result of [SlotSession.refresh]. */
sealed interface RefreshResult {
    /** A new epoch started. Its slots are reported by the next refresh. */
    data class Started(val epoch: Epoch) : RefreshResult

    /** The epoch continues. */
    class Continued(val change: TakeoverResult.Acquired) : RefreshResult

    /** The epoch is over. A refresh without an epoch starts another. */
    data object Ended : RefreshResult
}

/** Maintains the lease, the registration and the slots of one process as a slot owner. Calls must not overlap. */
class SlotSession(
    service: ServiceId,
    private val self: InstanceId,
    address: PeerAddress,
    private val store: StoreCall,
    private val nonces: () -> WriterNonce,
) {
    private val keys = CallKeys(service)
    private val ownership = SlotOwnership(service, self, address, store, nonces)
    private var nonce = nonces()
    private var lastEnded: Epoch? = null
    private var lease: LeaseId? = null
    private var isRegistered = false

    /**
     * Renews the lease, then starts an epoch if [epoch] is null or else looks for slots to take over. The slots in
     * [served] are already served. [slotCount] is the service's number of slots.
     */
    suspend fun refresh(epoch: Epoch?, served: Set<SlotId>, slotCount: Int): Result<RefreshResult, StoreFault> {
        keepAlive().onFailure { return Err(it) }
        if (epoch == null) return startEpoch(slotCount).map { RefreshResult.Started(it) }
        return ownership.takeOver(epoch, served).map { change ->
            when (change) {
                is TakeoverResult.Acquired -> RefreshResult.Continued(change)
                is TakeoverResult.EpochLost -> RefreshResult.Ended
            }
        }
    }

    /**
     * Called when [epoch] has ended, either lost or given up. The next epoch is registered under a new nonce and lease,
     * so that the old registration does not make the ended epoch look alive. It is registered only after the journal of
     * the ended epoch is sealed.
     */
    fun onEpochEnded(epoch: Epoch) {
        lastEnded = epoch
        nonce = nonces()
        clearLease()
    }

    /** Keeps the lease and the registration alive without taking over slots. */
    suspend fun keepAlive(): Result<Unit, StoreFault> {
        lease?.let { renew(it).onFailure { fault -> return Err(fault) } }
        if (lease == null) grant().onFailure { return Err(it) }
        return if (isRegistered) Ok(Unit) else register()
    }

    /** Frees the slots of [epoch], or of the last epoch if it has ended already, and revokes the lease. */
    suspend fun leave(epoch: Epoch?): Result<Unit, StoreFault> {
        val last = epoch ?: lastEnded
        if (last != null) ownership.retire(last).onFailure { return Err(it) }
        lease?.let { store(StoreCommand.Revoke(it)) }
        return Ok(Unit)
    }

    /** Deletes the record at [sequence] from the journal of this process's [epoch]. */
    suspend fun delete(epoch: Epoch, sequence: Long): Result<Unit, StoreFault> = ownership.delete(epoch, sequence)

    /** Deletes a page of records written before [bound] from the journal in [table] that was sealed first. */
    suspend fun trimSealed(table: SlotTable, bound: WallTime): Result<Unit, StoreFault> =
        ownership.trimSealed(table, bound)

    private suspend fun startEpoch(slotCount: Int): Result<Epoch, StoreFault> {
        val last = lastEnded ?: return ownership.register(nonce, slotCount)
        return ownership.replaceEpoch(last, nonce)
    }

    private suspend fun renew(current: LeaseId): Result<Unit, StoreFault> =
        when (val reply = store(StoreCommand.Renew(current))) {
            is StoreReply.Lease -> Ok(Unit)
            is StoreReply.Conflict -> Ok(Unit).also { clearLease() }
            else -> Err(StoreFault("the lease was not renewed: $reply"))
        }

    private fun clearLease() {
        lease = null
        isRegistered = false
    }

    private suspend fun grant(): Result<Unit, StoreFault> = when (val reply = store(StoreCommand.Grant(LEASE_TTL))) {
        is StoreReply.Lease -> Ok(Unit).also { lease = reply.id }
        else -> Err(StoreFault("no lease was granted: $reply"))
    }

    private suspend fun register(): Result<Unit, StoreFault> {
        val put = StoreCommand.Put(keys.owner(nonce), self.value.toByteArray(), expected = null, lease = lease)
        return when (val reply = store(put)) {
            is StoreReply.Written -> Ok(Unit).also { isRegistered = true }
            is StoreReply.Conflict -> Err(StoreFault("the lease ended before registration")).also { clearLease() }
            else -> Err(StoreFault("the owner was not registered: $reply"))
        }
    }

    companion object {
        /** An owner that has not renewed its lease for this long may lose its slots to other owners. */
        val LEASE_TTL = 3.seconds
    }
}
