package io.mimosatrail.protocol

import kotlinx.serialization.Serializable

/** A message between two processes of the system. The messages of each feature are in a file of their own. */
@Serializable
sealed interface PeerMessage
