package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.path.PathSegment
import io.mimosatrail.core.registry.UpstreamRecord

/**
 * Where one send goes: [upstream] takes the request, which then passes the engines of [path], empty for plain calls. It
 * takes [tokens] of KV cache on each of their layers.
 */
internal class Target(val upstream: UpstreamRecord, val path: List<PathSegment>, val tokens: Int) {
    /** All upstreams that the request depends on. */
    val members: List<InstanceId> = if (path.isEmpty()) listOf(upstream.id) else path.map { it.engine.id }

    override fun toString(): String =
        if (path.isEmpty()) upstream.id.value else path.joinToString(",") { "${it.engine.id}[${it.layers}]" }
}

/** Chooses targets for one request. */
internal interface TargetChooser {
    /** A target without the upstreams in [tried], or null where there is none. */
    fun choose(tried: Set<InstanceId>): Target?

    /** A target that begins as [current] and avoids engines that are down, or null where there is none. */
    fun redirect(current: Target): Target? = null
}
