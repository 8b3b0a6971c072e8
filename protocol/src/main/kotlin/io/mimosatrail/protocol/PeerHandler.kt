package io.mimosatrail.protocol

import io.mimosatrail.core.id.InstanceId

/**
 * Handles a message from [InstanceId]. A message without exchange is handled in order of arrival on its connection
 * and the result is dropped; a question is handled concurrently and the result is its answer.
 */
typealias PeerHandler = suspend (InstanceId, PeerMessage) -> PeerMessage?
