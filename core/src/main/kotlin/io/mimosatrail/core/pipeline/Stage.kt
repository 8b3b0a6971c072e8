package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress
import kotlinx.serialization.Serializable

/** Member of a chain: the sidecar [instance] at [address], which runs [layers] of the model. */
@Serializable
data class Stage(val instance: InstanceId, val address: PeerAddress, val layers: LayerRange)
