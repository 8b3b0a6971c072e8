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
 * The platform's store over HTTP.
 *
 * Answers [StoreReply.NotDone] only where the store said so or nothing was sent; every other missing or unreadable
 * answer is [StoreReply.Uncertain]. A call waits up to [timeout], a watch up to its own wait longer.
 */
class HttpStore(baseUrl: String, private val timeout: Duration = DEFAULT_TIMEOUT) : AutoCloseable {
    private val caller = HttpCaller(baseUrl)

    /** Executes one command; has the shape of a [io.mimosatrail.core.store.StoreCall]. */
    suspend operator fun invoke(command: StoreCommand): StoreReply {
        val request = command.toRequest()
        return when (val answer = caller.call(request.method, request.path, request.body, timeoutOf(command))) {
            is HttpResult.Answered -> command.replyTo(answer)
            is HttpResult.NotSent -> StoreReply.NotDone(answer.detail)
            is HttpResult.Lost -> StoreReply.Uncertain(answer.detail)
        }
    }

    override fun close() {
        caller.close()
    }

    private fun timeoutOf(command: StoreCommand): Duration =
        if (command is StoreCommand.Watch) command.wait + timeout else timeout
}

private fun StoreCommand.replyTo(answer: HttpResult.Answered): StoreReply = when {
    answer.status == OK -> readable { success(answer.text) }
    answer.status == CONFLICT -> readable { conflict(answer.text) }
    answer.status == GONE && this is StoreCommand.Renew -> StoreReply.Conflict(null)
    answer.status in NOT_DONE_STATUSES -> StoreReply.NotDone(answer.describe())
    answer.status in CLIENT_ERRORS -> StoreReply.NotDone(answer.describe())
    else -> StoreReply.Uncertain(answer.describe())
}

private fun readable(read: () -> StoreReply): StoreReply = try {
    read()
} catch (e: IllegalArgumentException) {
    StoreReply.Uncertain("unreadable answer: ${e.message}")
}

private fun StoreCommand.success(text: String): StoreReply = when (this) {
    is StoreCommand.Get -> StoreReply.Value(decode<ValueJson>(text).entry?.toStoredValue())
    is StoreCommand.List -> decode<ValuesJson>(text).let { values ->
        StoreReply.Values(values.entries.map { it.toStoredValue() }, values.more)
    }
    is StoreCommand.Put, is StoreCommand.Delete, is StoreCommand.Revoke ->
        StoreReply.Written(StoreRevision(decode<WrittenJson>(text).revision))
    is StoreCommand.Watch -> decode<ChangesJson>(text).let { changes ->
        StoreReply.Changes(
            changes.changes.map {
                it.toStoreChange()
            },
            StoreRevision(changes.revision),
            changes.compacted,
        )
    }
    is StoreCommand.Grant, is StoreCommand.Renew -> decode<LeaseJson>(text).let {
        StoreReply.Lease(LeaseId(it.lease), it.ttl.milliseconds)
    }
}

private fun conflict(text: String) = StoreReply.Conflict(decode<ConflictJson>(text).entry?.toStoredValue())

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
