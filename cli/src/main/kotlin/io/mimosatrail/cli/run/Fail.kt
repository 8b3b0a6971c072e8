package io.mimosatrail.cli.run

import com.github.ajalt.clikt.core.CliktError

/** Ends the command with [message] on the error stream and [code]. */
internal fun fail(message: String, code: ExitCode): Nothing = throw CliktError(message, statusCode = code.code)
