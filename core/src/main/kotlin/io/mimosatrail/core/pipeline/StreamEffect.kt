package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason

/** Action that the host of a [StreamTable] has to perform after an event. */
sealed interface StreamEffect {
    /** Sends [message] to the stage [to]. */
    class Send(val to: Stage, val message: StreamMessage) : StreamEffect

    /** Connects to the stage [to] if necessary and sends a heartbeat of this entry. */
    data class KeepAlive(val to: Stage) : StreamEffect

    /** Delivers the next token to the caller. */
    data class Deliver(val request: RequestId, val index: Int, val token: Int) : StreamEffect

    /** Completes the caller's stream. */
    data class Finish(val request: RequestId, val reason: FinishReason) : StreamEffect

    /** Ends the caller's stream with an error. */
    data class Fail(val request: RequestId, val refusal: Refusal) : StreamEffect

    /** Reports the load of a stage. */
    data class LoadReported(val instance: InstanceId, val load: UpstreamLoad) : StreamEffect

    /** Reports that a stage refused work. */
    data class StageRefused(val instance: InstanceId, val reason: RefusalReason) : StreamEffect

    /** Reports that a stage was unreachable or stopped answering. */
    data class StageLost(val instance: InstanceId) : StreamEffect

    /** Reports that a stream recovers from a failure with [strategy]. */
    data class Recovering(val request: RequestId, val strategy: RecoveryStrategy) : StreamEffect
}

/** How a stream recovers from a failure. */
enum class RecoveryStrategy {
    /** The same chain continues from the state that its stages hold. */
    RESUME,

    /** One stage is replaced. Its state is restored from the previous stage or, for the first stage, from the entry. */
    REPLACE,

    /** A new chain runs the prompt and the delivered tokens from the start. */
    REROUTE,
}
