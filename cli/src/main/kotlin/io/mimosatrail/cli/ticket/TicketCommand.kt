package io.mimosatrail.cli.ticket

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** Parent of the commands for change tickets. */
internal class TicketCommand : CliktCommand(name = "ticket") {
    override fun help(context: Context) = "Commands for change tickets."

    override fun run() = Unit
}
