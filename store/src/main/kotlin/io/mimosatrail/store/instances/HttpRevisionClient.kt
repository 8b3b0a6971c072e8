package io.mimosatrail.store.instances

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.net.HttpResult
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.store.http.HttpCaller
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val DEFAULT_TIMEOUT = 1.seconds
private const val OK = 200

/** Requests the revision of the configuration in force from the admin address of each process. */
class HttpRevisionClient(private val timeout: Duration = DEFAULT_TIMEOUT) : AutoCloseable {
    private val caller = HttpCaller("")

    /** Returns the revision in force at the process at [address], or the reason why it is not known. */
    suspend fun fetchRevision(address: PeerAddress): Result<ConfigRevision, String> =
        when (val result = caller.call("GET", "http://$address/status", null, timeout)) {
            is HttpResult.Answered -> decode(result)
            is HttpResult.NotSent -> Err(result.detail)
            is HttpResult.Lost -> Err(result.detail)
        }

    override fun close() {
        caller.close()
    }

    private fun decode(response: HttpResult.Answered): Result<ConfigRevision, String> {
        if (response.status != OK) return Err("status ${response.status}")
        return try {
            Ok(ConfigRevision(json.decodeFromString<RevisionJson>(response.body.decodeToString()).revision))
        } catch (e: IllegalArgumentException) {
            Err("unreadable status: ${e.message}")
        }
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
    }
}

@Serializable
private class RevisionJson(val revision: Long)
