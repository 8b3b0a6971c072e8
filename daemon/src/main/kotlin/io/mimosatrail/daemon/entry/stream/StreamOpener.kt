package io.mimosatrail.daemon.entry.stream

import kotlinx.coroutines.flow.Flow

/** Runs a model request while the flow is collected. Cancelling the collection cancels the request at every stage. */
typealias StreamOpener = (ModelRequest) -> Flow<StreamEvent>
