package io.mimosatrail.protocol

import io.mimosatrail.core.limits.PermitGrant
import io.mimosatrail.core.limits.PermitRequest
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks the home entry of some workspaces for permits; answered by [LendPermits]. */
@Serializable
@SerialName("borrow-permits")
data class BorrowPermits(val requests: List<PermitRequest>) : PeerMessage

/** Permits lent by a home entry, one grant for each workspace that it knows. */
@Serializable
@SerialName("lend-permits")
data class LendPermits(val grants: List<PermitGrant>) : PeerMessage
