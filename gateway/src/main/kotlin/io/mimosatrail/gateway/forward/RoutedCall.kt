package io.mimosatrail.gateway.forward

import io.mimosatrail.core.front.FrontService
import io.mimosatrail.core.front.FrontWorkspace
import io.mimosatrail.core.front.HostRoute
import io.mimosatrail.core.quarantine.RequestContent
import io.mimosatrail.core.rank.Rank
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.front.Caller
import io.mimosatrail.gateway.wire.RequestFields
import kotlin.time.Duration

/**
 * A caller's request and the configuration that applies to it. [workspace] is null if no API key is needed. [ranks] are
 * those that requests for the service may have, the highest first.
 */
internal class RoutedCall(
    val caller: Caller,
    val fields: RequestFields,
    val route: HostRoute,
    val workspace: FrontWorkspace?,
    val service: FrontService,
    val configurationVersion: Long,
    val ranks: List<Rank> = emptyList(),
) {
    /** How urgent the request is. */
    val rank = Rank(workspace?.priority ?: route.priority)

    /** True if the requests for the service differ in their ranks. */
    val isRanked: Boolean get() = ranks.size > 1

    /** Time limit for the final response, counted from the receipt of the request. */
    val timeout: Duration = minOf(fields.remaining ?: route.timeout, route.timeout)

    /** The request gets its final response by this moment. */
    val deadline: Moment = caller.receivedAt + timeout

    /** Computes its fingerprint at once unless the body is so long that this should be avoided. */
    val content = RequestContent(fields.promptParts, service.id) {
        fingerprintOf(workspace?.id, caller.request)
    }.apply {
        if (caller.request.content().readableBytes() <= MAX_DIGESTED_BYTES) fingerprint()
    }
}
