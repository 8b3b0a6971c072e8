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

/** Asks processes of the system, at their admin addresses, which configuration they have in force. */
class HttpRevisions(private val timeout: Duration = DEFAULT_TIMEOUT) : AutoCloseable {
    private val caller = HttpCaller("")

    suspend fun revisionOf(address: PeerAddress): Result<ConfigRevision, String> =
        when (val answer = caller.call("GET", "http://$address/status", null, timeout)) {
            is HttpResult.Answered -> decode(answer)
            is HttpResult.NotSent -> Err(answer.detail)
            is HttpResult.Lost -> Err(answer.detail)
        }

    override fun close() {
        caller.close()
    }

    private fun decode(answer: HttpResult.Answered): Result<ConfigRevision, String> {
        if (answer.status != OK) return Err("status ${answer.status}")
        return try {
            Ok(ConfigRevision(json.decodeFromString<RevisionJson>(answer.body.decodeToString()).revision))
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
