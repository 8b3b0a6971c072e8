package io.mimosatrail.protocol

import io.mimosatrail.core.limits.PermitGrant
import io.mimosatrail.core.limits.PermitRequest
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Requests permits from the home entry of the workspaces in [requests]; answered with [LendPermits]. */
@Serializable
@SerialName("borrow-permits")
data class BorrowPermits(val requests: List<PermitRequest>) : PeerMessage

/** Permits lent by a home entry: one grant for each requested workspace that it knows. */
@Serializable
@SerialName("lend-permits")
data class LendPermits(val grants: List<PermitGrant>) : PeerMessage
