package io.mimosatrail.daemon.entry.call

import com.github.michaelbull.result.Result
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.protocol.CallAnswer

/** Runs a call at an upstream of its service. Returns the answer, or why there is none and whether the call ran. */
typealias CallRouter = suspend (ServiceCall) -> Result<CallAnswer, Refusal>
