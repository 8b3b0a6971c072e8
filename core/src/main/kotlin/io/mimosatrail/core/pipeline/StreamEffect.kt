package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason

/** What the entry's host does after an event. */
sealed interface StreamEffect {
    /** Sends [message] to a stage. */
    class Send(val to: Stage, val message: StreamMessage) : StreamEffect

    /** Tells a stage that this entry is alive. */
    data class KeepAlive(val to: Stage) : StreamEffect

    /** Gives the caller its next token. */
    data class Deliver(val request: RequestId, val index: Int, val token: Int) : StreamEffect

    /** Ends the caller's stream whole. */
    data class Finish(val request: RequestId, val reason: FinishReason) : StreamEffect

    /** Ends the caller's stream with an error. */
    data class Fail(val request: RequestId, val refusal: Refusal) : StreamEffect

    /** A stage reported its load. */
    data class Loaded(val instance: InstanceId, val load: UpstreamLoad) : StreamEffect

    /** A stage refused work. */
    data class Refused(val instance: InstanceId, val reason: RefusalReason) : StreamEffect

    /** A stage could not be reached or stopped answering. */
    data class Lost(val instance: InstanceId) : StreamEffect

    /** A stream carries on by [way] after a failure. */
    data class Recovering(val request: RequestId, val way: RecoveryWay) : StreamEffect
}

/** How a stream carries on after a failure. */
enum class RecoveryWay {
    /** The same chain answers again from what it kept. */
    RESUME,

    /** One stage is replaced and its state restored from its neighbour. */
    REPLACE,

    /** A new chain runs the prompt and the delivered tokens again. */
    REROUTE,
}
