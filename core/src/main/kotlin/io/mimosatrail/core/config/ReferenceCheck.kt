package io.mimosatrail.core.config

import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.id.RuleId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.WorkspaceId

/** Inconsistencies in this configuration, which results from applying [ticket] to [before]. */
internal fun Configuration.referenceProblems(ticket: Ticket, before: Configuration): List<TicketProblem> =
    absentRemovals(ticket, before) + danglingRules(ticket) + competingRules(ticket) + sharedKeys(ticket)

private fun absentRemovals(ticket: Ticket, before: Configuration): List<TicketProblem> =
    ticket.removed.objects.filterNot { it in before }
        .map { TicketProblem(TicketPath("remove"), "$it does not exist") }

internal operator fun Configuration.contains(target: ConfigObject): Boolean = when (target.kind) {
    ConfigObjectKind.WORKSPACE -> WorkspaceId(target.id) in workspaces
    ConfigObjectKind.SERVICE -> ServiceId(target.id) in services
    ConfigObjectKind.RULE -> RuleId(target.id) in rules
}

private fun Configuration.danglingRules(ticket: Ticket): List<TicketProblem> =
    rules.values.mapNotNull { rule -> rule.danglingReference(this)?.let { TicketProblem(ticket.pathOf(rule.id), it) } }

private fun RoutingRule.danglingReference(configuration: Configuration): String? {
    val target = configuration.services[service]
    return when {
        target == null -> "rule $id names service $service, which does not exist"
        workspace != null && workspace !in configuration.workspaces ->
            "rule $id names workspace $workspace, which does not exist"
        model == null && target is ModelPool -> "rule $id without model names pool $service"
        model != null && target !is ModelPool -> "rule $id for model $model names $service, which is no pool"
        model != null && target is ModelPool && target.model != model ->
            "rule $id for model $model names pool $service of model ${target.model}"
        else -> null
    }
}

private fun Configuration.competingRules(ticket: Ticket): List<TicketProblem> = rules.values.groupBy { it.scope }
    .values.filter { it.size > 1 }
    .map { competing ->
        val path = competing.map { ticket.pathOf(it.id) }.maxBy { it.index ?: -1 }
        TicketProblem(path, "rules ${competing.joinToString { it.id.value }} hold for the same requests")
    }

/** The requests that a rule applies to. [service] is null for rules with a [model]. */
private data class RuleScope(val model: ModelId?, val service: ServiceId?, val workspace: WorkspaceId?)

private val RoutingRule.scope: RuleScope get() = RuleScope(model, service.takeIf { model == null }, workspace)

private fun Configuration.sharedKeys(ticket: Ticket): List<TicketProblem> {
    val indexes = ticket.workspaces.withIndex().associate { (i, workspace) -> workspace.id to i }
    return workspaces.values.flatMap { workspace -> workspace.keyHashes.map { it to workspace.id } }
        .groupBy({ it.first }, { it.second })
        .filterValues { it.size > 1 }
        .map { (_, owners) ->
            val path = TicketPath("workspaces", owners.firstNotNullOfOrNull { indexes[it] }, "keyHashes")
            TicketProblem(path, "one key hash stands twice, in ${owners.distinct().joinToString { it.value }}")
        }
}

private fun Ticket.pathOf(rule: RuleId): TicketPath {
    val index = rules.indexOfFirst { it.id == rule }
    return if (index < 0) TicketPath("ticket") else TicketPath("rules", index)
}
