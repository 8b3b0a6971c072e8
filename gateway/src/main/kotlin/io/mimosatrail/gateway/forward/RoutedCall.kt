package io.mimosatrail.gateway.forward

import io.mimosatrail.core.front.FrontService
import io.mimosatrail.core.front.FrontWorkspace
import io.mimosatrail.core.front.HostRoute
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.front.Caller
import io.mimosatrail.gateway.wire.CallFields
import kotlin.time.Duration

/** A caller's request together with what the configuration says of it. */
internal class RoutedCall(
    val caller: Caller,
    val fields: CallFields,
    val route: HostRoute,
    val workspace: FrontWorkspace?,
    val service: FrontService,
    val configurationVersion: Long,
) {
    /** How long the caller will wait, from the moment its request was read. */
    val patience: Duration = minOf(fields.remaining ?: route.timeout, route.timeout)

    /** Moment at which the request gets its final answer. */
    val giveUpAt: Moment = caller.receivedAt + patience
}
