package io.mimosatrail.cli.ticket

import com.github.michaelbull.result.getOrElse
import io.mimosatrail.cli.run.ExitCode
import io.mimosatrail.cli.run.fail
import io.mimosatrail.core.config.ConfigRecord
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.store.ticket.LogError
import io.mimosatrail.store.ticket.TicketLog

/** Reads the newest configuration, or ends the command. */
internal suspend fun readConfiguration(store: StoreCall): Configuration {
    val read = TicketLog(store).read(Configuration())
    read.error?.let { fail(it.describe(), ExitCode.UNAVAILABLE) }
    return read.configuration
}

/** Reads the last [limit] records, or ends the command. */
internal suspend fun readRecent(store: StoreCall, limit: Int): List<ConfigRecord> =
    TicketLog(store).recent(limit).getOrElse { fail(it.describe(), ExitCode.UNAVAILABLE) }

internal fun LogError.describe(): String = when (this) {
    is LogError.Unavailable -> "the store did not answer: $detail"
    is LogError.Unreadable -> "the record after revision $after can't be used: $error"
    is LogError.Gap -> "the record after revision $after is missing from the store"
}
