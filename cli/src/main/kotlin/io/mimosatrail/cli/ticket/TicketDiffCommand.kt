package io.mimosatrail.cli.ticket

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.types.path
import io.mimosatrail.cli.run.OutputOption
import io.mimosatrail.cli.run.StoreOptions
import io.mimosatrail.core.config.ObjectChange
import io.mimosatrail.core.config.changesOf
import kotlinx.serialization.builtins.ListSerializer

/** Shows what a ticket would change in the newest configuration. */
internal class TicketDiffCommand : CliktCommand(name = "diff") {
    private val file by argument(help = "ticket to compare").path(mustExist = true, canBeDir = false)
    private val platform by StoreOptions()
    private val output by OutputOption()

    override fun help(context: Context) = "Shows what a ticket would change in the newest configuration."

    override fun run() {
        val ticket = readTicket(file).ticket
        val changes = platform.withStore { readConfiguration(it) }.changesOf(ticket)
        output.print(this, ListSerializer(ObjectChange.serializer()), changes) { it.toText() }
    }
}

private fun List<ObjectChange>.toText() = joinToString("\n") { change ->
    val last = change.lastTicket?.let { " (at ticket $it)" }.orEmpty()
    "${change.kind.label} ${change.target}$last" + change.detail()
}

private fun ObjectChange.detail() = listOfNotNull(before?.let { "\n  - $it" }, after?.let { "\n  + $it" })
    .takeIf { before != after }
    .orEmpty()
    .joinToString("")
