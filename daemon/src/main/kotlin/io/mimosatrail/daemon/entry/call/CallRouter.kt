package io.mimosatrail.daemon.entry.call

import com.github.michaelbull.result.Result
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.protocol.CallAnswer

/** Takes a call to an upstream of its service and answers what is known of it. */
typealias CallRouter = suspend (ServiceCall) -> Result<CallAnswer, Refusal>
