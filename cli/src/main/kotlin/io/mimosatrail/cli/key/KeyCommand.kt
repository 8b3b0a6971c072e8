package io.mimosatrail.cli.key

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** Parent of the commands for workspace keys. */
internal class KeyCommand : CliktCommand(name = "key") {
    override fun help(context: Context) = "Commands for the bearer keys of workspaces."

    override fun run() = Unit
}
