package io.mimosatrail.core.store

/** Executes one store command. Call budget, circuit breaker and metrics are decorators of this type. */
typealias StoreCall = suspend (StoreCommand) -> StoreReply
