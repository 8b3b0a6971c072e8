package io.mimosatrail.core.front

import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.placement.EngineProfile
import kotlin.time.Duration

/**
 * One version of the operators' configuration for the host routes.
 *
 * [workspaces] is null where the deployment uses no keys.
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

    /** Number of routes. */
    val routeCount: Int = routes.size

    /** Decides where a request for [path] on [host] goes. [key] is the caller's key, null where it sent none. */
    fun decide(host: String, path: String, key: String?): RouteDecision {
        val route = routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) } ?: return RouteDecision.NoRoute
        if (workspacesByKey == null || route.isAnonymous) return RouteDecision.Routed(route, null)
        val workspace = key?.let { workspacesByKey[it] } ?: return RouteDecision.UnknownKey
        return RouteDecision.Routed(route, workspace)
    }
}

/** Outcome of looking a request up in the configuration. */
sealed interface RouteDecision {
    /** The request goes to [route] on behalf of [workspace], null on routes that need no key. */
    data class Routed(val route: HostRoute, val workspace: FrontWorkspace?) : RouteDecision

    /** No route matches the host and path. */
    data object NoRoute : RouteDecision

    /** The route needs a key, and the request has none that is known. */
    data object UnknownKey : RouteDecision
}

/** A workspace and its keys. [priority] takes precedence over a route's where it is set; 0 is the highest. */
data class FrontWorkspace(val id: WorkspaceId, val keys: Set<String>, val priority: Int?)

/**
 * A service that host routes lead to.
 *
 * [maxConnections] is the number of connections that one upstream accepts from all entries together. [healthPath] tells
 * whether it is healthy and not leaving. [engine] is null for a plain service.
 */
data class FrontService(val id: ServiceId, val maxConnections: Int, val healthPath: String, val engine: EngineProfile?)

/** Bounds on what a caller may send, and on how long it may take or stay idle. Sizes are in bytes. */
data class FrontLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)
