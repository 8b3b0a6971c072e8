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

/** The platform's instance list over HTTP; an unchanged list is not transferred again. */
class HttpInstanceList(baseUrl: String, private val timeout: Duration = DEFAULT_TIMEOUT) : AutoCloseable {
    private val caller = HttpCaller(baseUrl)

    @Volatile
    private var last: Tagged? = null

    /** Reads the whole list. */
    suspend fun fetch(): Result<List<InstanceEntry>, String> =
        when (val answer = caller.call("GET", "/v1/instances", null, timeout, last?.tag)) {
            is HttpResult.Answered -> read(answer)
            is HttpResult.NotSent -> Err(answer.detail)
            is HttpResult.Lost -> Err(answer.detail)
        }

    override fun close() {
        caller.close()
    }

    private fun read(answer: HttpResult.Answered): Result<List<InstanceEntry>, String> {
        val known = last
        if (answer.status == NOT_MODIFIED && known != null) return Ok(known.entries)
        return decode(answer).onSuccess { entries -> last = answer.tag?.let { Tagged(it, entries) } }
    }

    private fun decode(answer: HttpResult.Answered): Result<List<InstanceEntry>, String> {
        if (answer.status != OK) return Err("status ${answer.status}")
        return try {
            Ok(json.decodeFromString<InstancesJson>(answer.body.decodeToString()).instances)
        } catch (e: IllegalArgumentException) {
            Err("unreadable list: ${e.message}")
        }
    }

    private class Tagged(val tag: String, val entries: List<InstanceEntry>)

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
    }
}

@Serializable
private class InstancesJson(val instances: List<InstanceEntry>)
