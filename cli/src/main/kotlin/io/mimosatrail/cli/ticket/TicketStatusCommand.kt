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

/** Shows at which instances a revision is in force. */
internal class TicketStatusCommand : CliktCommand(name = "status") {
    private val revision by option("--revision", help = "revision to look for; default: the newest")
        .long().restrictTo(min = 1)
    private val platform by StoreOptions()
    private val instances by InstanceOptions()
    private val output by OutputOption()

    override fun help(context: Context) =
        "Shows at which instances a revision is in force. The exit code is 1 if some instance does not have it yet."

    override fun run() {
        val instancesUrl = instances.required()
        val wanted = revision?.let { ConfigRevision(it) } ?: platform.withStore { readConfiguration(it).revision }
        val rollout = runBlocking { fetchRolloutStatus(wanted, instancesUrl) }
        output.print(this, RolloutStatus.serializer(), rollout) { it.describe() }
        if (!rollout.isComplete) throw ProgramResult(ExitCode.REFUSED.code)
    }
}
