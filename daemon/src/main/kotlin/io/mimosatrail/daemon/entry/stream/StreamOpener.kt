package io.mimosatrail.daemon.entry.stream

import kotlinx.coroutines.flow.Flow

/** Runs a model request; cancelling the collection of the flow cancels the request down its chain. */
typealias StreamOpener = (ModelRequest) -> Flow<StreamEvent>
