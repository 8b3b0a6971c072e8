package io.mimosatrail.core.outcome

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a call that was not answered normally was run. */
@Serializable
enum class Outcome {
    /** The call did not run and never will. */
    @SerialName("not-run")
    NOT_RUN,

    /** The call ran; its answer is not available. */
    @SerialName("ran")
    RAN,

    /** The call may have run. */
    @SerialName("unknown")
    UNKNOWN,
}
