package io.mimosatrail.standins

/** Imitation of an external system for tests, served over HTTP on the loopback address. */
interface Standin {
    /** Base URL without a trailing slash. Available after the start. */
    val url: String

    /** Closes all connections immediately and releases the port. */
    fun stop()
}
