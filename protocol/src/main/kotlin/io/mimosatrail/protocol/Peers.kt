package io.mimosatrail.protocol

import com.github.michaelbull.result.Result
import io.mimosatrail.core.net.PeerAddress
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import kotlin.time.Duration

/** Sends messages to other processes of the system. */
interface Peers {
    /** Peers whose connection from this process has just ended. */
    val closedLinks: Flow<PeerAddress> get() = emptyFlow()

    /** Queues [message] for [to]; order is kept per peer. Fails at once where the link is down or its queue full. */
    suspend fun send(to: PeerAddress, message: PeerMessage): Result<Unit, PeerError>

    /** Sends [message] and waits up to [timeout] for its answer. */
    suspend fun ask(to: PeerAddress, message: PeerMessage, timeout: Duration): Result<PeerMessage, PeerError>
}

/** Why a message to a peer failed, and whether the peer may have received it. */
sealed interface PeerError {
    val to: PeerAddress

    /** No connection; the message was not sent. */
    data class Unreachable(override val to: PeerAddress, val detail: String) : PeerError

    /** The queue to the peer is full; the message was not sent. */
    data class Overloaded(override val to: PeerAddress) : PeerError

    /** No answer within the timeout, or the link broke after sending; the peer may have acted. */
    data class NoAnswer(override val to: PeerAddress, val detail: String) : PeerError
}
