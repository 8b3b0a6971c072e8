package io.mimosatrail.cli.run

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** Root command of the tool. */
class MimosatrailCommand : CliktCommand(name = "mimosatrail") {
    override fun help(context: Context) = "Manages the configuration of mimosatrail: change tickets and workspace keys."

    override fun helpEpilog(context: Context) =
        "Exit codes: 0 success, 1 refused, 2 wrong command line, 3 the platform did not answer."

    override fun run() = Unit
}
