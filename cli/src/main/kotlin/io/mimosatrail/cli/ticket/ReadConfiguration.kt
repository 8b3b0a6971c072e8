package io.mimosatrail.cli.ticket

import com.github.michaelbull.result.getOrElse
import io.mimosatrail.cli.run.ExitCode
import io.mimosatrail.cli.run.fail
import io.mimosatrail.core.config.ConfigRecord
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.store.ticket.LogError
import io.mimosatrail.store.ticket.TicketLog

/** Reads the newest configuration. Ends the command if it cannot be read. */
internal suspend fun readConfiguration(store: StoreCall): Configuration {
    val read = TicketLog(store).read(Configuration())
    read.error?.let { fail(it.describe(), ExitCode.UNAVAILABLE) }
    return read.configuration
}

/** Reads up to [limit] of the newest records, oldest first. Ends the command if they cannot be read. */
internal suspend fun readRecent(store: StoreCall, limit: Int): List<ConfigRecord> =
    TicketLog(store).readRecent(limit).getOrElse { fail(it.describe(), ExitCode.UNAVAILABLE) }

internal fun LogError.describe(): String = when (this) {
    is LogError.Unavailable -> "the store did not answer: $detail"
    is LogError.Unreadable -> "the record after revision $after can't be decoded: $error"
    is LogError.Gap -> "the record after revision $after is missing from the store"
}
