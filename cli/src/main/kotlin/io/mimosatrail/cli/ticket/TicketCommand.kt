package io.mimosatrail.cli.ticket

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** Groups the commands on change tickets. */
internal class TicketCommand : CliktCommand(name = "ticket") {
    override fun help(context: Context) = "Works on change tickets."

    override fun run() = Unit
}
