package io.mimosatrail.core.pipeline

import io.mimosatrail.core.config.ModelPool
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.time.Moment

/** Parameters of a stream to open. [prompt] holds token ids. */
class StreamSpec(
    val id: RequestId,
    val pool: ModelPool,
    val prompt: List<Int>,
    val maxTokens: Int,
    val priority: Int,
    val deadline: Moment,
)
