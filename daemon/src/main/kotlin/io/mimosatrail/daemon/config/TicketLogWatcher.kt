package io.mimosatrail.daemon.config

import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.spread.WatchEnd
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreChange
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.store.ticket.ConfigKeys
import io.mimosatrail.store.ticket.LogError
import io.mimosatrail.store.ticket.LogRead
import io.mimosatrail.store.ticket.TicketLog
import kotlin.time.Duration

/** Reads the ticket log in the store and watches it for changes after the newest write that it has seen. */
internal class TicketLogWatcher(private val store: StoreCall) {
    private val ticketLog = TicketLog(store)

    @Volatile
    private var newestSeen: StoreRevision? = null

    /** Reads the log after the revision of [known]. */
    suspend fun read(known: Configuration): LogRead {
        val read = ticketLog.read(known)
        if (read.error !is LogError.Unavailable) advance(read.storeRevision)
        return read
    }

    /**
     * Waits up to [wait] for a change after the newest write seen. Returns [WatchEnd.FAILED] at once if the log was not
     * read successfully before.
     */
    suspend fun awaitChange(wait: Duration): WatchEnd {
        val after = newestSeen ?: return WatchEnd.FAILED
        return when (val reply = store(StoreCommand.Watch(ConfigKeys.LOG, after, wait))) {
            is StoreReply.Changes -> {
                advance(reply.revision)
                if (reply.compacted || reply.changes.any { it.affectsConfig }) WatchEnd.CHANGED else WatchEnd.UNCHANGED
            }
            else -> WatchEnd.FAILED
        }
    }

    @Synchronized
    private fun advance(revision: StoreRevision) {
        newestSeen = maxOf(newestSeen ?: revision, revision)
    }
}

/** False if a snapshot has replaced the record, which empties its value. */
private val StoreChange.affectsConfig: Boolean get() = value.let { it == null || it.value.isNotEmpty() }
