package io.mimosatrail.upstream

import com.github.michaelbull.result.Result

/** Client of one model engine. docs/INTERFACES.md specifies the HTTP requests and responses. */
interface EngineClient {
    suspend fun state(): Result<EngineState, UpstreamError>

    /** Runs [items] and returns their results in the same order. */
    suspend fun run(items: List<RunItem>): Result<List<RunResult>, UpstreamError>

    /** Frees the KV cache of a sequence. Does nothing if there is none. */
    suspend fun free(sequence: String): Result<Unit, UpstreamError>

    suspend fun exportKv(sequence: String): Result<KvState, UpstreamError>

    suspend fun importKv(sequence: String, state: KvState): Result<Unit, UpstreamError>

    suspend fun order(order: EngineOrder): Result<EngineState, UpstreamError>
}
