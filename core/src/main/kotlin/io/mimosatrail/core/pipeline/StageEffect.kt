package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.net.PeerAddress

/** Action that the host of a [StageTable] has to perform after an event. */
sealed interface StageEffect {
    /** Sends [message] to instance [peer] at address [to]. */
    class Send(val peer: InstanceId, val to: PeerAddress, val message: StreamMessage) : StageEffect

    /** Runs [work] on the engine and passes the result to [StageTable.onResult]. */
    class Run(val work: StageWork) : StageEffect

    /** Frees the KV cache of a sequence. */
    data class Free(val sequence: String) : StageEffect

    /** Exports the KV cache of a sequence and passes it to [StageTable.onExported]. */
    class Export(val request: RequestId, val generation: Generation, val sequence: String) : StageEffect
}
