package io.mimosatrail.store.client

import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoredValue
import java.util.TreeMap

/**
 * Fault of a call: it is not executed, with a reply that says so; or its reply is lost, before or after the call took
 * effect.
 */
enum class Fault { NOT_DONE, LOST_BEFORE, LOST_AFTER }

/** In-memory store without leases and watches. [fault] returns the fault of each call, null for none. */
class FakeStore {
    val values = TreeMap<String, StoredValue>()
    val calls = mutableListOf<StoreCommand>()
    var fault: (StoreCommand) -> Fault? = { null }

    /** Runs before each call takes effect, for example to write as a concurrent client. */
    var beforeCall: suspend (StoreCommand) -> Unit = {}
    private var revision = 0L

    suspend fun call(command: StoreCommand): StoreReply {
        calls += command
        beforeCall(command)
        return when (fault(command)) {
            null -> execute(command)
            Fault.NOT_DONE -> StoreReply.NotDone("refused by the test")
            Fault.LOST_BEFORE -> StoreReply.Uncertain("lost by the test")
            Fault.LOST_AFTER -> StoreReply.Uncertain("lost by the test").also { execute(command) }
        }
    }

    fun overwrite(key: StoreKey, value: ByteArray) {
        val created = values[key.value]?.createRevision ?: StoreRevision(revision + 1)
        values[key.value] = StoredValue(key, value, StoreRevision(++revision), created)
    }

    private fun execute(command: StoreCommand): StoreReply = when (command) {
        is StoreCommand.Get -> StoreReply.Value(values[command.key.value])
        is StoreCommand.List -> list(command)
        is StoreCommand.Put -> write(command.key, command.expected) { overwrite(command.key, command.value) }
        is StoreCommand.Delete -> write(command.key, command.expected) { values -= command.key.value }
        else -> error("not supported by the fake: $command")
    }

    private fun list(command: StoreCommand.List): StoreReply {
        val found = values.values.filter {
            it.key.value.startsWith(command.prefix.value) && it.key.value > (command.after?.value ?: "")
        }
        return StoreReply.Values(found.take(command.limit), found.size > command.limit)
    }

    private fun write(key: StoreKey, expected: StoreRevision?, effect: () -> Unit): StoreReply {
        val current = values[key.value]
        if (expected != null && expected != (current?.revision ?: StoreRevision(0))) return StoreReply.Conflict(current)
        effect()
        return StoreReply.Written(StoreRevision(revision))
    }
}
