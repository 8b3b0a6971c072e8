package io.mimosatrail.daemon.entry.stream

import io.mimosatrail.core.config.ModelPool
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment

/** An admitted model request; [prompt] holds token ids. */
class ModelRequest(
    val id: RequestId,
    val workspace: WorkspaceId,
    val pool: ModelPool,
    val prompt: List<Int>,
    val maxTokens: Int,
    val priority: Int,
    val deadline: Moment,
)
