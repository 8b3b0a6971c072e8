package io.mimosatrail.protocol

import io.mimosatrail.core.id.InstanceId

/**
 * Handles a message from the instance with the given [InstanceId].
 *
 * Messages that expect no answer are handled one after another in order of arrival on their connection, and the result
 * is ignored. Requests are handled concurrently, and the result is sent as the answer; null sends none.
 */
typealias PeerHandler = suspend (InstanceId, PeerMessage) -> PeerMessage?
