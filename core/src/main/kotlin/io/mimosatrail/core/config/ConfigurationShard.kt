package io.mimosatrail.core.config

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.TicketNumber
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** [ticket] was the last one that set or removed [target]. */
@Serializable
data class LastTicket(val target: ConfigObject, val ticket: TicketNumber)

/** Part of a configuration that fits into one value of the store. */
@Serializable
data class ConfigurationShard(
    val workspaces: List<Workspace> = emptyList(),
    val services: List<Service> = emptyList(),
    val rules: List<RoutingRule> = emptyList(),
    @SerialName("marks") val lastTickets: List<LastTicket> = emptyList(),
)

/** Splits the configuration into shards of at most [objects] objects each. */
fun Configuration.toShards(objects: Int): List<ConfigurationShard> =
    workspaces.values.chunked(objects) { ConfigurationShard(workspaces = it.toList()) } +
        services.values.chunked(objects) { ConfigurationShard(services = it.toList()) } +
        rules.values.chunked(objects) { ConfigurationShard(rules = it.toList()) } +
        lastTickets.entries.chunked(objects) { entries ->
            ConfigurationShard(lastTickets = entries.map { LastTicket(it.key, it.value) })
        }

/** Joins all shards of the configuration at [revision]. */
fun assembleConfiguration(revision: ConfigRevision, shards: List<ConfigurationShard>): Configuration = Configuration(
    revision = revision,
    workspaces = shards.flatMap { it.workspaces }.associateBy { it.id },
    services = shards.flatMap { it.services }.associateBy { it.id },
    rules = shards.flatMap { it.rules }.associateBy { it.id },
    lastTickets = shards.flatMap { it.lastTickets }.associate { it.target to it.ticket },
)
