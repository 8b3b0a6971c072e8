package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.path.PathSegment
import io.mimosatrail.core.registry.UpstreamRecord

/**
 * Destination of one send. [upstream] receives the request, which then passes the engines of [path]; the path is empty
 * for plain services. The request occupies [tokens] tokens of KV cache on each layer of the path. [engines] are the
 * records of the path's engines when it was chosen.
 */
internal class Target(
    val upstream: UpstreamRecord,
    val path: List<PathSegment>,
    val tokens: Int,
    private val engines: List<UpstreamRecord> = emptyList(),
) {
    /** Ids of all upstreams that process the request. */
    val upstreamIds: List<InstanceId> = if (path.isEmpty()) listOf(upstream.id) else path.map { it.engine.id }

    /** The process of the engine [id] on the path that was running when the path was chosen, or null if unknown. */
    fun engine(id: InstanceId): UpstreamRecord? = engines.firstOrNull { it.id == id }

    override fun toString(): String =
        if (path.isEmpty()) upstream.id.value else path.joinToString(",") { "${it.engine.id}[${it.layers}]" }
}

/** Chooses targets for one request. */
internal interface TargetChooser {
    /**
     * A target that uses none of the upstreams in [excluded] and that this entry may send a request to now, or null if
     * there is none.
     */
    fun choose(excluded: Set<InstanceId>): Target?

    /** Upstreams that can receive the request at some time, limited ones included; none of those in [excluded]. */
    fun possibleUpstreams(excluded: Set<InstanceId>): List<InstanceId>

    /** A target that starts with the first segment of [current] and avoids engines that are down, or null if none. */
    fun redirect(current: Target): Target? = null
}
