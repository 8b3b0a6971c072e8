package io.mimosatrail.daemon.host

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.protocol.PeerHandler
import io.mimosatrail.protocol.PeerMessage
import java.util.concurrent.ConcurrentHashMap
import kotlin.reflect.KClass

/** Dispatches each peer message to the handler registered for its type. A type without a handler gets no answer. */
class MessageRouter {
    private val handlers = ConcurrentHashMap<
        KClass<out PeerMessage>,
        suspend (
            InstanceId,
            PeerMessage,
        ) -> PeerMessage?,
        >()

    /** Registers the [handler] of messages of type [M]. A type has at most one handler. */
    inline fun <reified M : PeerMessage> on(noinline handler: suspend (InstanceId, M) -> PeerMessage?) {
        register(M::class) { from, message -> handler(from, message as M) }
    }

    fun register(type: KClass<out PeerMessage>, handler: PeerHandler) {
        check(handlers.put(type, handler) == null) { "${type.simpleName} has a handler already" }
    }

    suspend fun dispatch(from: InstanceId, message: PeerMessage): PeerMessage? =
        handlers[message::class]?.invoke(from, message)
}
