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

/** Caches the slot table of one service. It may be outdated; a sidecar refuses calls for slots that it does not own. */
internal class SlotOwnerCache(service: ServiceId, store: StoreCall, private val clock: Clock) {
    private val tableStore = SlotTableStore(CallKeys(service), store)
    private val mutex = Mutex()

    @Volatile
    private var cachedTable: SlotTable? = null

    @Volatile
    private var lastFault: StoreFault? = null

    @Volatile
    private var lastReadAt: Moment? = null

    /**
     * The owner of the slot of [key]; null if the slot has none. Reads the store first if there is no cached table, or
     * if [forceRefresh] is set because the cached owner proved wrong. Fails if there is no cached table and the store
     * could not be read.
     */
    suspend fun ownerOf(key: ClaimKey, forceRefresh: Boolean): Result<SlotOwner?, StoreFault> {
        if (forceRefresh || cachedTable == null) refresh()
        val table = cachedTable ?: return lastFault?.let { Err(it) } ?: Ok(null)
        return Ok(table.ownerOf(key.slotOf(table.slots.size)))
    }

    /** Reads the table, at most once per [MIN_READ_INTERVAL]. */
    private suspend fun refresh() = mutex.withLock {
        val now = clock()
        val lastRead = lastReadAt
        if (lastRead != null && now - lastRead < MIN_READ_INTERVAL) return@withLock
        lastReadAt = now
        tableStore.read()
            .onSuccess { table ->
                cachedTable = table
                lastFault = null
            }.onFailure { lastFault = it }
    }

    private companion object {
        val MIN_READ_INTERVAL = 100.milliseconds
    }
}
