package io.mimosatrail.cli

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import io.mimosatrail.cli.key.KeyCommand
import io.mimosatrail.cli.key.KeyHashCommand
import io.mimosatrail.cli.run.ExitCode
import io.mimosatrail.cli.run.MimosatrailCommand
import io.mimosatrail.cli.ticket.TicketCheckCommand
import io.mimosatrail.cli.ticket.TicketCommand
import io.mimosatrail.cli.ticket.TicketDiffCommand
import io.mimosatrail.cli.ticket.TicketListCommand
import io.mimosatrail.cli.ticket.TicketShowCommand
import io.mimosatrail.cli.ticket.TicketStatusCommand
import io.mimosatrail.cli.ticket.TicketSubmitCommand
import kotlin.system.exitProcess

/** The command-line tool with its subcommands. Unlike [main] it does not end the process, so tests can run it. */
fun mimosatrail(): MimosatrailCommand = MimosatrailCommand().subcommands(
    TicketCommand().subcommands(
        TicketCheckCommand(),
        TicketDiffCommand(),
        TicketSubmitCommand(),
        TicketStatusCommand(),
        TicketListCommand(),
        TicketShowCommand(),
    ),
    KeyCommand().subcommands(KeyHashCommand()),
)

/** Runs the tool and returns the exit code, one of [ExitCode]. */
internal fun runTool(arguments: Array<String>): Int {
    val command = mimosatrail()
    return try {
        command.parse(arguments)
        ExitCode.OK.code
    } catch (e: UsageError) {
        command.echoFormattedHelp(e)
        ExitCode.USAGE.code
    } catch (e: CliktError) {
        command.echoFormattedHelp(e)
        e.statusCode
    }
}

/** Runs the tool and ends the process with its exit code. */
fun main(arguments: Array<String>) {
    exitProcess(runTool(arguments))
}
