package io.mimosatrail.upstream

import com.github.michaelbull.result.Result

/** Calls of one model engine; the HTTP shapes stand in docs/INTERFACES.md. */
interface EngineClient {
    suspend fun state(): Result<EngineState, UpstreamError>

    /** Runs [items]; each result stands at the place of its item. */
    suspend fun run(items: List<RunItem>): Result<List<RunResult>, UpstreamError>

    /** Frees a sequence's KV cache; harmless where it is absent. */
    suspend fun free(sequence: String): Result<Unit, UpstreamError>

    suspend fun exportKv(sequence: String): Result<KvState, UpstreamError>

    suspend fun importKv(sequence: String, state: KvState): Result<Unit, UpstreamError>

    suspend fun order(order: EngineOrder): Result<EngineState, UpstreamError>
}
