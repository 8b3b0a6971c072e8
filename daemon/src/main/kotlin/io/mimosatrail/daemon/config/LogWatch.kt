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

/** Reads and watches the log in the store, and remembers up to which write it was seen. */
internal class LogWatch(private val store: StoreCall) {
    private val log = TicketLog(store)

    @Volatile
    private var seen: StoreRevision? = null

    suspend fun read(known: Configuration): LogRead {
        val read = log.read(known)
        if (read.error !is LogError.Unavailable) advance(read.storeRevision)
        return read
    }

    /** Waits up to [wait] for a change past what was read; fails at once where nothing was read yet. */
    suspend fun await(wait: Duration): WatchEnd {
        val after = seen ?: return WatchEnd.FAILED
        return when (val reply = store(StoreCommand.Watch(ConfigKeys.LOG, after, wait))) {
            is StoreReply.Changes -> {
                advance(reply.revision)
                if (reply.compacted || reply.changes.any { it.isNews }) WatchEnd.CHANGED else WatchEnd.UNCHANGED
            }
            else -> WatchEnd.FAILED
        }
    }

    @Synchronized
    private fun advance(revision: StoreRevision) {
        seen = maxOf(seen ?: revision, revision)
    }
}

/** False for a record that a snapshot has replaced. */
private val StoreChange.isNews: Boolean get() = value.let { it == null || it.value.isNotEmpty() }
