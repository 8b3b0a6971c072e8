package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.net.PeerAddress

/** What a stage's host does after an event. */
sealed interface StageEffect {
    /** Sends [message]; [peer] is who is reached at [to]. */
    class Send(val peer: InstanceId, val to: PeerAddress, val message: StreamMessage) : StageEffect

    /** Runs [work] on the engine and reports its result. */
    class Run(val work: StageWork) : StageEffect

    /** Frees a sequence's KV cache. */
    data class Free(val sequence: String) : StageEffect

    /** Exports a sequence's KV cache and reports it. */
    class Export(val request: RequestId, val generation: Generation, val sequence: String) : StageEffect
}
