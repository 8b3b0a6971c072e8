package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress
import kotlinx.serialization.Serializable

/** One hop of a chain: the sidecar that runs [layers]. */
@Serializable
data class Stage(val instance: InstanceId, val address: PeerAddress, val layers: LayerRange)
