package io.mimosatrail.cli.run

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

private const val TEXT = "text"
private const val JSON = "json"

/** Option for the output format: text, or one line of JSON for use by programs. */
internal class OutputOption : OptionGroup("Output") {
    private val format by option("--output", help = "output format").choice(TEXT, JSON).default(TEXT)

    fun <T> print(command: CliktCommand, serializer: KSerializer<T>, result: T, text: (T) -> String) {
        command.echo(if (format == JSON) json.encodeToString(serializer, result) else text(result))
    }

    private companion object {
        val json = Json { encodeDefaults = true }
    }
}
