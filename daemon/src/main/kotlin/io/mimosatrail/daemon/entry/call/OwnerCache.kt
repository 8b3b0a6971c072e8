package io.mimosatrail.daemon.entry.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.mimosatrail.core.calls.CallKeys
import io.mimosatrail.core.calls.ClaimKey
import io.mimosatrail.core.calls.SlotOwner
import io.mimosatrail.core.calls.SlotTable
import io.mimosatrail.core.calls.SlotTableStore
import io.mimosatrail.core.calls.StoreFault
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlin.time.Duration.Companion.milliseconds

/** The last known slot owners of one service. A hint: a refusal by the sidecar corrects it. */
internal class OwnerCache(service: ServiceId, store: StoreCall, private val clock: Clock) {
    private val tables = SlotTableStore(CallKeys(service), store)
    private val mutex = Mutex()

    @Volatile
    private var known: SlotTable? = null

    @Volatile
    private var fault: StoreFault? = null

    @Volatile
    private var readAt: Moment? = null

    /**
     * The owner of [key], after a read of the store where the known one was found [wrong]; null while the slot has no
     * owner. An error where nothing is known and the store does not tell.
     */
    suspend fun ownerOf(key: ClaimKey, wrong: Boolean): Result<SlotOwner?, StoreFault> {
        if (wrong || known == null) refresh()
        val table = known ?: return fault?.let { Err(it) } ?: Ok(null)
        return Ok(table.ownerOf(key.slotOf(table.slots.size)))
    }

    private suspend fun refresh() = mutex.withLock {
        val now = clock()
        val last = readAt
        if (last != null && now - last < MIN_READ_INTERVAL) return@withLock
        readAt = now
        tables.read()
            .onSuccess { table ->
                known = table
                fault = null
            }.onFailure { fault = it }
    }

    private companion object {
        val MIN_READ_INTERVAL = 100.milliseconds
    }
}
