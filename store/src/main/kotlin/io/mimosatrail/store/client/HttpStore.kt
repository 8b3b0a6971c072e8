package io.mimosatrail.store.client

import io.mimosatrail.core.id.LeaseId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.net.HttpResult
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.store.http.HttpCaller
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val DEFAULT_TIMEOUT = 2.seconds
private val NOT_DONE_STATUSES = setOf(429, 503)
private const val OK = 200
private const val CONFLICT = 409
private const val GONE = 410
private val CLIENT_ERRORS = 400..499

/**
 * Client of the platform's store over HTTP.
 *
 * The reply is [StoreReply.NotDone] only if the store's status code shows that the command was not executed, or if no
 * byte of the request was sent. Any other missing or unreadable response is [StoreReply.Uncertain]. A call times out
 * after [timeout]; a watch, after [timeout] plus its own wait.
 */
class HttpStore(baseUrl: String, private val timeout: Duration = DEFAULT_TIMEOUT) : AutoCloseable {
    private val caller = HttpCaller(baseUrl)

    /** Executes one command. A reference to this function is a [io.mimosatrail.core.store.StoreCall]. */
    suspend operator fun invoke(command: StoreCommand): StoreReply {
        val request = command.toRequest()
        return when (val result = caller.call(request.method, request.path, request.body, timeoutOf(command))) {
            is HttpResult.Answered -> command.replyFrom(result)
            is HttpResult.NotSent -> StoreReply.NotDone(result.detail)
            is HttpResult.Lost -> StoreReply.Uncertain(result.detail)
        }
    }

    override fun close() {
        caller.close()
    }

    private fun timeoutOf(command: StoreCommand): Duration =
        if (command is StoreCommand.Watch) command.wait + timeout else timeout
}

private fun StoreCommand.replyFrom(response: HttpResult.Answered): StoreReply = when {
    response.status == OK -> decodeOrUncertain { decodeSuccess(response.text) }
    response.status == CONFLICT -> decodeOrUncertain { decodeConflict(response.text) }
    response.status == GONE && this is StoreCommand.Renew -> StoreReply.Conflict(null)
    response.status in NOT_DONE_STATUSES -> StoreReply.NotDone(response.describe())
    response.status in CLIENT_ERRORS -> StoreReply.NotDone(response.describe())
    else -> StoreReply.Uncertain(response.describe())
}

private fun decodeOrUncertain(decode: () -> StoreReply): StoreReply = try {
    decode()
} catch (e: IllegalArgumentException) {
    StoreReply.Uncertain("unreadable answer: ${e.message}")
}

private fun StoreCommand.decodeSuccess(text: String): StoreReply = when (this) {
    is StoreCommand.Get -> StoreReply.Value(decode<ValueJson>(text).entry?.toStoredValue())
    is StoreCommand.List -> decode<ValuesJson>(text).let { values ->
        StoreReply.Values(values.entries.map { it.toStoredValue() }, values.more)
    }
    is StoreCommand.Put, is StoreCommand.Delete, is StoreCommand.Revoke ->
        StoreReply.Written(StoreRevision(decode<WrittenJson>(text).revision))
    is StoreCommand.Watch -> decode<ChangesJson>(text).let { changes ->
        StoreReply.Changes(
            changes.changes.map { it.toStoreChange() },
            StoreRevision(changes.revision),
            changes.compacted,
        )
    }
    is StoreCommand.Grant, is StoreCommand.Renew -> decode<LeaseJson>(text).let {
        StoreReply.Lease(LeaseId(it.lease), it.ttl.milliseconds)
    }
}

private fun decodeConflict(text: String) = StoreReply.Conflict(decode<ConflictJson>(text).entry?.toStoredValue())

private inline fun <reified T> decode(text: String): T = storeJson.decodeFromString(text)

private val HttpResult.Answered.text: String get() = body.decodeToString()

private fun HttpResult.Answered.describe(): String {
    val error = try {
        decode<ErrorJson>(text)
    } catch (e: IllegalArgumentException) {
        ErrorJson()
    }
    return "status $status ${error.error} ${error.detail}".trimEnd()
}
