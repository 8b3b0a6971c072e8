package io.mimosatrail.standins

/** A small stand-in of an outside system, on the loopback address. */
interface Standin {
    /** Base address, known once started. */
    val url: String

    /** Closes every connection at once and gives the port back. */
    fun stop()
}
