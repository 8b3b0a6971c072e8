package io.mimosatrail.bench.scenario

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a request ended as its caller saw it, or a ticket as its operator saw it. */
@Serializable
enum class ObservedOutcome {
    /** A complete answer to a model request or a lookup. */
    @SerialName("whole")
    WHOLE,

    /** A model answer that ended with an error after some tokens. */
    @SerialName("cut")
    CUT,

    /** The application's answer to a report. */
    @SerialName("recorded")
    RECORDED,

    /** The request did not run, or the ticket did not take effect. */
    @SerialName("not-run")
    NOT_RUN,

    /** The request ran, but its answer is not available. */
    @SerialName("ran")
    RAN,

    /** The request may have run, or the ticket may have taken effect. */
    @SerialName("unknown")
    UNKNOWN,

    /** An error of the application itself. */
    @SerialName("failed")
    FAILED,

    /** The connection ended without an answer. */
    @SerialName("no-answer")
    NO_ANSWER,

    /** The connection was refused, so nothing was sent. */
    @SerialName("no-connection")
    NO_CONNECTION,

    /** The ticket was accepted. */
    @SerialName("accepted")
    ACCEPTED,

    /** The ticket was refused. */
    @SerialName("refused")
    REFUSED,
}
