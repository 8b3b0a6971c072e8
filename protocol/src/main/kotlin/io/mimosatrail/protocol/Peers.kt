package io.mimosatrail.protocol

import com.github.michaelbull.result.Result
import io.mimosatrail.core.net.PeerAddress
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import kotlin.time.Duration

/** Sends messages to other processes of the system. */
interface Peers {
    /** Emits the address of a peer when the connection from this process to it is closed. */
    val closedLinks: Flow<PeerAddress> get() = emptyFlow()

    /**
     * Queues [message] for the peer at [to] and connects to it first if necessary. Messages to one peer are sent in
     * order. Fails if the connection can't be opened or its queue is full.
     */
    suspend fun send(to: PeerAddress, message: PeerMessage): Result<Unit, PeerError>

    /** Sends [message] as a request and waits up to [timeout] for the answer. */
    suspend fun ask(to: PeerAddress, message: PeerMessage, timeout: Duration): Result<PeerMessage, PeerError>
}

/** Why sending a message to a peer failed, and whether the peer may have received it. */
sealed interface PeerError {
    val to: PeerAddress

    /** There is no connection; the message was not sent. */
    data class Unreachable(override val to: PeerAddress, val detail: String) : PeerError

    /** The queue to the peer is full; the message was not sent. */
    data class Overloaded(override val to: PeerAddress) : PeerError

    /** No answer arrived in time, or the connection broke while waiting; the peer may have handled the message. */
    data class NoAnswer(override val to: PeerAddress, val detail: String) : PeerError
}
