package io.mimosatrail.protocol

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** Reads and writes envelopes on one socket, each as a frame with a length prefix. */
internal class FrameChannel(private val socket: Socket, private val maxFrameBytes: Int) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val writeMutex = Mutex()

    /** Reads one envelope. Returns an error if the frame is invalid, and throws if the connection ends. */
    suspend fun read(): Result<Envelope, String> {
        val size = input.readInt()
        if (size !in 1..maxFrameBytes) return Err("received a frame of $size bytes, allowed are 1 to $maxFrameBytes")
        val bytes = ByteArray(size)
        input.readFully(bytes)
        return PeerCodec.decode(bytes)
    }

    /** Writes one envelope. Returns an error and writes nothing if its frame is larger than [maxFrameBytes]. */
    suspend fun write(envelope: Envelope, flush: Boolean = true): Result<Unit, String> {
        val bytes = PeerCodec.encode(envelope)
        if (bytes.size > maxFrameBytes) return Err("frame of ${bytes.size} bytes exceeds the limit of $maxFrameBytes")
        writeMutex.withLock {
            output.writeInt(bytes.size)
            output.writeFully(bytes)
            if (flush) output.flush()
        }
        return Ok(Unit)
    }

    suspend fun flush() {
        writeMutex.withLock { output.flush() }
    }

    fun close() {
        socket.close()
    }
}
