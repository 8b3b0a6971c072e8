package io.mimosatrail.store.ticket

import com.charleskorn.kaml.AnchorsAndAliases
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlNode
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.mimosatrail.core.config.Ticket

/** Size limit of a ticket file in bytes. */
const val MAX_TICKET_BYTES: Int = 4 * 1024 * 1024

/** Parses and formats tickets as YAML. Unknown fields, duplicate keys, anchors and aliases are errors. */
object TicketYaml {
    private val yaml = Yaml(
        configuration = YamlConfiguration(
            strictMode = true,
            anchorsAndAliases = AnchorsAndAliases.Forbidden,
            codePointLimit = MAX_TICKET_BYTES,
        ),
    )

    /** Parses one ticket. The error contains the position in [text]. */
    fun parse(text: String): Result<TicketDocument, TicketSyntaxError> {
        if (text.length > MAX_TICKET_BYTES) return Err(tooLarge(text.length))
        return try {
            val root = yaml.parseToYamlNode(text)
            Ok(TicketDocument(yaml.decodeFromYamlNode(Ticket.serializer(), root), root))
        } catch (e: YamlException) {
            Err(TicketSyntaxError(e.line, e.column, "${e.path.toHumanReadableString()}: ${e.message}"))
        } catch (e: IllegalArgumentException) {
            Err(TicketSyntaxError(1, 1, e.message ?: "not a ticket"))
        }
    }

    /** Formats a ticket as YAML that [parse] accepts. */
    fun format(ticket: Ticket): String = yaml.encodeToString(Ticket.serializer(), ticket)

    private fun tooLarge(size: Int) =
        TicketSyntaxError(1, 1, "the ticket has $size characters, more than $MAX_TICKET_BYTES are refused")
}

/** A syntax error in the text of a ticket; [line] and [column] count from 1. */
data class TicketSyntaxError(val line: Int, val column: Int, val detail: String)

/** A ticket together with its YAML tree, which contains the positions of its objects. */
class TicketDocument(val ticket: Ticket, internal val root: YamlNode)
