package io.mimosatrail.core.config

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.TicketNumber
import kotlinx.serialization.Serializable

/** The last ticket that touched an object. */
@Serializable
data class TicketMark(val target: ConfigObject, val ticket: TicketNumber)

/** Part of a configuration, small enough for one value of the store. */
@Serializable
data class ConfigurationShard(
    val workspaces: List<Workspace> = emptyList(),
    val services: List<Service> = emptyList(),
    val rules: List<RoutingRule> = emptyList(),
    val marks: List<TicketMark> = emptyList(),
)

/** Cuts the configuration into shards of at most [objects] objects each. */
fun Configuration.toShards(objects: Int): List<ConfigurationShard> =
    workspaces.values.chunked(objects) { ConfigurationShard(workspaces = it.toList()) } +
        services.values.chunked(objects) { ConfigurationShard(services = it.toList()) } +
        rules.values.chunked(objects) { ConfigurationShard(rules = it.toList()) } +
        lastTickets.entries.chunked(objects) { marks ->
            ConfigurationShard(marks = marks.map { TicketMark(it.key, it.value) })
        }

/** Puts the shards of [revision] together again. */
fun assembleConfiguration(revision: ConfigRevision, shards: List<ConfigurationShard>): Configuration = Configuration(
    revision = revision,
    workspaces = shards.flatMap { it.workspaces }.associateBy { it.id },
    services = shards.flatMap { it.services }.associateBy { it.id },
    rules = shards.flatMap { it.rules }.associateBy { it.id },
    lastTickets = shards.flatMap { it.marks }.associate { it.target to it.ticket },
)
