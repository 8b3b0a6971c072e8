package io.mimosatrail.cli.key

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** Groups the commands on workspace keys. */
internal class KeyCommand : CliktCommand(name = "key") {
    override fun help(context: Context) = "Works on the bearer keys of workspaces."

    override fun run() = Unit
}
