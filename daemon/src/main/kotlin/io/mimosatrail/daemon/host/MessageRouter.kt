package io.mimosatrail.daemon.host

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.protocol.PeerHandler
import io.mimosatrail.protocol.PeerMessage
import java.util.concurrent.ConcurrentHashMap
import kotlin.reflect.KClass

/** Passes each peer message to the part that subscribed to its type; answers null for a type without subscriber. */
class MessageRouter {
    private val handlers = ConcurrentHashMap<
        KClass<out PeerMessage>,
        suspend (
            InstanceId,
            PeerMessage,
        ) -> PeerMessage?,
        >()

    /** Subscribes to messages of type [M]; one subscriber a type. */
    inline fun <reified M : PeerMessage> on(noinline handler: suspend (InstanceId, M) -> PeerMessage?) {
        register(M::class) { from, message -> handler(from, message as M) }
    }

    fun register(type: KClass<out PeerMessage>, handler: PeerHandler) {
        check(handlers.put(type, handler) == null) { "two subscribers for ${type.simpleName}" }
    }

    suspend fun dispatch(from: InstanceId, message: PeerMessage): PeerMessage? =
        handlers[message::class]?.invoke(from, message)
}
