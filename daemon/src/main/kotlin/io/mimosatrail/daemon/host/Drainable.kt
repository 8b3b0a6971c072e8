package io.mimosatrail.daemon.host

/** A component that finishes its work during a planned stop. */
interface Drainable {
    /** Refuses new work from now on. */
    fun startDraining()

    /** Waits without a time limit until everything in flight has ended and owned slots are handed over. */
    suspend fun awaitDrained()
}
