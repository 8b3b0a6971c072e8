package io.mimosatrail.store.ticket

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import io.mimosatrail.core.config.TicketPath
import io.mimosatrail.core.config.TicketProblem

/** A problem of a ticket with its position in the file; [line] and [column] count from 1. */
data class LocatedProblem(val line: Int, val column: Int, val path: TicketPath, val detail: String)

/** Returns [problem] with the position of the deepest node of its path that the document has. */
fun TicketDocument.locate(problem: TicketProblem): LocatedProblem {
    val path = problem.path
    val list = root.child(path.list) ?: root
    val item = path.index?.let { (list as? YamlList)?.items?.getOrNull(it) } ?: list
    val node = path.field?.let { item.child(it) } ?: item
    return LocatedProblem(node.location.line, node.location.column, path, problem.detail)
}

private fun YamlNode.child(name: String): YamlNode? = (this as? YamlMap)?.get<YamlNode>(name)
