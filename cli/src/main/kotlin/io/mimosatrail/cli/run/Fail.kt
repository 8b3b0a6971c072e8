package io.mimosatrail.cli.run

import com.github.ajalt.clikt.core.CliktError

/** Ends the command: prints [message] to standard error and exits with [code]. */
internal fun fail(message: String, code: ExitCode): Nothing = throw CliktError(message, statusCode = code.code)
