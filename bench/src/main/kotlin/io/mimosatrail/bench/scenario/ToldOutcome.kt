package io.mimosatrail.bench.scenario

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a caller or an operator was told. */
@Serializable
enum class ToldOutcome {
    /** The whole answer of a model request or a lookup. */
    @SerialName("whole")
    WHOLE,

    /** A model answer that ended with an error after some tokens. */
    @SerialName("cut")
    CUT,

    /** The application's answer to a report. */
    @SerialName("recorded")
    RECORDED,

    /** The request did not run. */
    @SerialName("not-run")
    NOT_RUN,

    /** The request ran, and its answer is not available. */
    @SerialName("ran")
    RAN,

    /** The request may have run. */
    @SerialName("unknown")
    UNKNOWN,

    /** An error of the application itself. */
    @SerialName("failed")
    FAILED,

    /** The connection ended without an answer. */
    @SerialName("no-answer")
    NO_ANSWER,

    /** No connection came about, so that nothing was sent. */
    @SerialName("no-connection")
    NO_CONNECTION,

    /** A ticket that was accepted. */
    @SerialName("accepted")
    ACCEPTED,

    /** A ticket that was refused. */
    @SerialName("refused")
    REFUSED,
}
