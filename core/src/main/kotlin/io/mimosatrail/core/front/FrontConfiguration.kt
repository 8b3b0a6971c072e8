package io.mimosatrail.core.front

import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.placement.EngineProfile
import io.mimosatrail.core.rank.Rank
import kotlin.time.Duration

/**
 * One version of the operators' configuration of the host routes.
 *
 * [workspaces] is null if the deployment does not use keys.
 */
class FrontConfiguration(
    val version: Long,
    routes: List<HostRoute>,
    val services: Map<ServiceId, FrontService>,
    val limits: FrontLimits,
    workspaces: List<FrontWorkspace>?,
) {
    private val routesByHost = routes.groupBy { it.host }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.prefix.length } }

    private val workspacesByKey = workspaces?.let { all ->
        buildMap { all.forEach { workspace -> workspace.keys.forEach { put(it, workspace) } } }
    }

    private val ranksByService = services.keys.associateWith { ranksOf(it, routes, workspaces.orEmpty()) }

    /** Number of routes. */
    val routeCount: Int = routes.size

    /** The ranks that requests for [service] may have, the highest first. With two or more the service is ranked. */
    fun ranks(service: ServiceId): List<Rank> = ranksByService[service].orEmpty()

    /** Finds the route and workspace of a request for [path] on [host]. [key] is the caller's key, or null. */
    fun decide(host: String, path: String, key: String?): RouteDecision {
        val route = routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) } ?: return RouteDecision.NoRoute
        if (workspacesByKey == null || route.isAnonymous) return RouteDecision.Routed(route, null)
        val workspace = key?.let { workspacesByKey[it] } ?: return RouteDecision.UnknownKey
        return RouteDecision.Routed(route, workspace)
    }
}

private fun ranksOf(service: ServiceId, routes: List<HostRoute>, workspaces: List<FrontWorkspace>): List<Rank> {
    val own = routes.filter { route -> route.split.any { it.service == service && it.weight > 0 } }
    val ofRoutes = own.filter {
        it.isAnonymous || workspaces.isEmpty() || workspaces.any { one -> one.priority == null }
    }
        .map { it.priority }
    val ofWorkspaces = if (own.all { it.isAnonymous }) emptyList() else workspaces.mapNotNull { it.priority }
    return (ofRoutes + ofWorkspaces).distinct().sorted().map(::Rank)
}

/** Result of [FrontConfiguration.decide]. */
sealed interface RouteDecision {
    /** The request belongs to [route] and [workspace]; [workspace] is null if no key is needed. */
    data class Routed(val route: HostRoute, val workspace: FrontWorkspace?) : RouteDecision

    /** No route matches the host and path. */
    data object NoRoute : RouteDecision

    /** The route needs a key, and the request has none or an unknown one. */
    data object UnknownKey : RouteDecision
}

/** A workspace and its keys. [priority] replaces the priority of the route unless it is null; 0 is the highest. */
data class FrontWorkspace(val id: WorkspaceId, val keys: Set<String>, val priority: Int?)

/**
 * A service that is the target of host routes.
 *
 * [maxConnections] is the number of connections that one upstream accepts from all entries together. [healthPath] is
 * the path of the upstreams' health check, which fails while an upstream is draining. [engine] is null for a plain
 * service.
 */
data class FrontService(val id: ServiceId, val maxConnections: Int, val healthPath: String, val engine: EngineProfile?)

/** Limits on the size of a request, in bytes, and on the time that a caller may take to send it or stay idle. */
data class FrontLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)
