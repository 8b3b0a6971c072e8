package io.mimosatrail.cli.ticket

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.mimosatrail.cli.run.OutputOption
import io.mimosatrail.cli.run.StoreOptions
import io.mimosatrail.core.config.ConfigRecord
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.TicketNumber
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer

/** Number of newest tickets that can be listed or shown. */
internal const val MAX_LISTED = 100

/** One line of the list; [objects] is the number of objects that the ticket sets or removes. */
@Serializable
internal data class TicketLine(
    val revision: ConfigRevision,
    val ticket: TicketNumber,
    val author: String,
    val objects: Int,
) {
    constructor(record: ConfigRecord) :
        this(record.revision, record.ticket.number, record.author, record.ticket.touched.size)
}

/** Lists the last accepted tickets. */
internal class TicketListCommand : CliktCommand(name = "list") {
    private val limit by option("--limit", help = "number of tickets").int().restrictTo(1..MAX_LISTED).default(20)
    private val platform by StoreOptions()
    private val output by OutputOption()

    override fun help(context: Context) = "Lists the last accepted tickets, oldest first."

    override fun run() {
        val lines = platform.withStore { readRecent(it, limit) }.map { TicketLine(it) }
        output.print(this, ListSerializer(TicketLine.serializer()), lines) { it.toText() }
    }
}

private fun List<TicketLine>.toText() =
    joinToString("\n") { "revision ${it.revision}: ticket ${it.ticket} of ${it.author}, ${it.objects} objects" }
        .ifEmpty { "no ticket was accepted yet" }
