package io.mimosatrail.core.store

/** Executes one store command. Budget, breaker and metrics are decorators of this type. */
typealias StoreCall = suspend (StoreCommand) -> StoreReply
