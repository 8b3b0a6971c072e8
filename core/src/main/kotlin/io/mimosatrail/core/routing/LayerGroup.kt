package io.mimosatrail.core.routing

import io.mimosatrail.core.pipeline.LayerRange

/** Upstreams of one pool that hold the same layers of the same version, and may replace each other. */
class LayerGroup(val layers: LayerRange, val members: List<UpstreamRow>)
