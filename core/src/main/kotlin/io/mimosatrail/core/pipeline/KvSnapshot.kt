package io.mimosatrail.core.pipeline

import kotlinx.serialization.Serializable

/** KV cache of the first [positions] positions of a sequence at one stage, as exported by its engine in [state]. */
@Serializable
class KvSnapshot(val positions: Int, val state: ByteArray)
