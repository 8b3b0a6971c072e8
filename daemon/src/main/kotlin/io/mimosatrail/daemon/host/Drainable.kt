package io.mimosatrail.daemon.host

/** A part that takes part in a planned stop. */
interface Drainable {
    /** Refuses new work from now on. */
    fun startDraining()

    /** Waits until everything in flight has ended and all authority is handed over, however long that takes. */
    suspend fun awaitDrained()
}
