package io.mimosatrail.core.outcome

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Processing step of a request at which an error arose. */
@Serializable
enum class Step {
    @SerialName("parse")
    PARSE,

    @SerialName("authenticate")
    AUTHENTICATE,

    @SerialName("admit")
    ADMIT,

    @SerialName("route")
    ROUTE,

    @SerialName("claim")
    CLAIM,

    @SerialName("send")
    SEND,

    @SerialName("stage")
    STAGE,

    @SerialName("answer")
    ANSWER,

    @SerialName("configure")
    CONFIGURE,

    @SerialName("store")
    STORE,

    @SerialName("order")
    ORDER,
}
