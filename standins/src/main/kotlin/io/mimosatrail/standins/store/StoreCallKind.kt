package io.mimosatrail.standins.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kinds of calls to the store. */
@Serializable
enum class StoreCallKind(val isWrite: Boolean) {
    @SerialName("get")
    GET(false),

    @SerialName("list")
    LIST(false),

    @SerialName("put")
    PUT(true),

    @SerialName("delete")
    DELETE(true),

    @SerialName("watch")
    WATCH(false),

    @SerialName("lease")
    LEASE(true),

    @SerialName("renew")
    RENEW(true),

    @SerialName("end-lease")
    END_LEASE(true),
}
