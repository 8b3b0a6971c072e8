package io.mimosatrail.cli.run

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** Root of the tool. */
class MimosatrailCommand : CliktCommand(name = "mimosatrail") {
    override fun help(context: Context) = "Operates mimosatrail: change tickets and keys."

    override fun helpEpilog(context: Context) =
        "Exit codes: 0 done, 1 refused, 2 wrong command line, 3 the platform did not answer."

    override fun run() = Unit
}
