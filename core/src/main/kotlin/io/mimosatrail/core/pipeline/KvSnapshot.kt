package io.mimosatrail.core.pipeline

import kotlinx.serialization.Serializable

/** Exported KV cache of one sequence on one stage, for positions 0 until [positions]. */
@Serializable
class KvSnapshot(val positions: Int, val state: ByteArray)
