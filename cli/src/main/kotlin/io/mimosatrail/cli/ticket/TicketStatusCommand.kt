package io.mimosatrail.cli.ticket

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.mimosatrail.cli.run.ExitCode
import io.mimosatrail.cli.run.InstanceOptions
import io.mimosatrail.cli.run.OutputOption
import io.mimosatrail.cli.run.StoreOptions
import io.mimosatrail.core.id.ConfigRevision
import kotlinx.coroutines.runBlocking

/** Tells where a revision is in force. */
internal class TicketStatusCommand : CliktCommand(name = "status") {
    private val revision by option("--revision", help = "revision asked for; the newest if left out")
        .long().restrictTo(min = 1)
    private val platform by StoreOptions()
    private val instances by InstanceOptions()
    private val output by OutputOption()

    override fun help(context: Context) = "Tells where a revision is in force. Exit code 1 where it isn't everywhere."

    override fun run() {
        val instancesUrl = instances.required()
        val wanted = revision?.let { ConfigRevision(it) } ?: platform.withStore { readConfiguration(it).revision }
        val spread = runBlocking { askSpread(wanted, instancesUrl) }
        output.print(this, Spread.serializer(), spread) { it.describe() }
        if (!spread.everywhere) throw ProgramResult(ExitCode.REFUSED.code)
    }
}
