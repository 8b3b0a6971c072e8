package io.mimosatrail.cli.ticket

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path

/** Checks a ticket without the store, so references to existing objects are not checked. */
internal class TicketCheckCommand : CliktCommand(name = "check") {
    private val file by argument(help = "ticket to check").path(mustExist = true, canBeDir = false)

    override fun help(context: Context) =
        "Checks the syntax and the values of a ticket, without contacting the platform."

    override fun run() {
        val ticket = readTicket(file).ticket
        echo("ticket ${ticket.number}: ${ticket.touched.size} objects, no problems found")
    }
}
