package io.mimosatrail.core.routing

import io.mimosatrail.core.pipeline.LayerRange

/** Interchangeable upstreams of a pool: [members] hold the same [layers] of the same model version. */
class LayerGroup(val layers: LayerRange, val members: List<UpstreamRow>)
