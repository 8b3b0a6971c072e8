package io.mimosatrail.store.instances

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onSuccess
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.net.HttpResult
import io.mimosatrail.store.http.HttpCaller
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val DEFAULT_TIMEOUT = 2.seconds
private const val OK = 200
private const val NOT_MODIFIED = 304

/** Client of the platform's instance list. A list whose entity tag is unchanged is not transferred again. */
class HttpInstanceList(baseUrl: String, private val timeout: Duration = DEFAULT_TIMEOUT) : AutoCloseable {
    private val caller = HttpCaller(baseUrl)

    @Volatile
    private var cached: CachedList? = null

    /** Returns the whole list, or the reason why it could not be read. */
    suspend fun fetch(): Result<List<InstanceEntry>, String> =
        when (val result = caller.call("GET", "/v1/instances", null, timeout, cached?.tag)) {
            is HttpResult.Answered -> read(result)
            is HttpResult.NotSent -> Err(result.detail)
            is HttpResult.Lost -> Err(result.detail)
        }

    override fun close() {
        caller.close()
    }

    private fun read(response: HttpResult.Answered): Result<List<InstanceEntry>, String> {
        val known = cached
        if (response.status == NOT_MODIFIED && known != null) return Ok(known.entries)
        return decode(response).onSuccess { entries -> cached = response.tag?.let { CachedList(it, entries) } }
    }

    private fun decode(response: HttpResult.Answered): Result<List<InstanceEntry>, String> {
        if (response.status != OK) return Err("status ${response.status}")
        return try {
            Ok(json.decodeFromString<InstancesJson>(response.body.decodeToString()).instances)
        } catch (e: IllegalArgumentException) {
            Err("unreadable list: ${e.message}")
        }
    }

    private class CachedList(val tag: String, val entries: List<InstanceEntry>)

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
    }
}

@Serializable
private class InstancesJson(val instances: List<InstanceEntry>)
