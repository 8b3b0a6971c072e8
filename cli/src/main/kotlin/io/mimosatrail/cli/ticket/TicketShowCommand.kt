package io.mimosatrail.cli.ticket

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.mimosatrail.cli.run.ExitCode
import io.mimosatrail.cli.run.OutputOption
import io.mimosatrail.cli.run.StoreOptions
import io.mimosatrail.cli.run.fail
import io.mimosatrail.core.config.ConfigRecord
import io.mimosatrail.store.ticket.TicketYaml

/** Shows one accepted ticket. */
internal class TicketShowCommand : CliktCommand(name = "show") {
    private val number by argument(help = "number of the ticket").long().restrictTo(min = 1)
    private val platform by StoreOptions()
    private val output by OutputOption()

    override fun help(context: Context) = "Shows one of the last $MAX_LISTED accepted tickets."

    override fun run() {
        val record = platform.withStore { readRecent(it, MAX_LISTED) }.lastOrNull { it.ticket.number.value == number }
            ?: fail("ticket $number is not among the last $MAX_LISTED accepted tickets", ExitCode.REFUSED)
        output.print(this, ConfigRecord.serializer(), record) { it.toText() }
    }
}

private fun ConfigRecord.toText() = "# revision $revision, submitted by $author\n${TicketYaml.format(ticket)}"
