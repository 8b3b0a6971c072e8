package io.mimosatrail.protocol

import kotlinx.serialization.Serializable

/** A message between two processes of the system. Each feature has its messages in a file of its own. */
@Serializable
sealed interface PeerMessage
