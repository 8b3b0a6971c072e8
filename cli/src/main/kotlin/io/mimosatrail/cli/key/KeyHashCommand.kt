package io.mimosatrail.cli.key

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import io.mimosatrail.cli.run.ExitCode
import io.mimosatrail.cli.run.fail
import io.mimosatrail.store.ticket.sha256Hex

private const val MIN_KEY_LENGTH = 16

/** Prints the digest of a key, for the `keyHashes` of a ticket. */
internal class KeyHashCommand : CliktCommand(name = "hash") {
    override fun help(context: Context) =
        "Reads a key from the first line of standard input and prints its SHA-256 digest for a ticket's keyHashes."

    override fun run() {
        val key = readlnOrNull()?.trim().orEmpty()
        if (key.length < MIN_KEY_LENGTH) {
            fail(
                "the key on standard input has ${key.length} characters, at least $MIN_KEY_LENGTH are required",
                ExitCode.REFUSED,
            )
        }
        echo(sha256Hex(key.encodeToByteArray()))
    }
}
