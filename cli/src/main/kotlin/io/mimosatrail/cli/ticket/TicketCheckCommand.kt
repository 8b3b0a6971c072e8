package io.mimosatrail.cli.ticket

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path

/** Checks a ticket by itself, without the store. */
internal class TicketCheckCommand : CliktCommand(name = "check") {
    private val file by argument(help = "ticket to check").path(mustExist = true, canBeDir = false)

    override fun help(context: Context) = "Checks the form and the values of a ticket, without asking the platform."

    override fun run() {
        val ticket = readTicket(file).ticket
        echo("ticket ${ticket.number}: ${ticket.touched.size} objects, no fault found")
    }
}
