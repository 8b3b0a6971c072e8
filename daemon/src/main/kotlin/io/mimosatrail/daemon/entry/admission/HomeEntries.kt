package io.mimosatrail.daemon.entry.admission

import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.membership.InstanceState
import io.mimosatrail.core.routing.rendezvousSubset
import io.mimosatrail.daemon.host.Host

/** Entries of the instance list, and which of them is the home of a workspace. */
internal class HomeEntries(private val host: Host) {
    private class Snapshot(val list: List<InstanceEntry>, val entries: List<InstanceEntry>)

    @Volatile
    private var snapshot = Snapshot(emptyList(), listOf(host.self))

    /** Number of live entries, this one counted. */
    fun count(): Int = entries().size

    /** The entry that lends the permits of [workspace]; all entries with the same list agree. */
    fun homeOf(workspace: WorkspaceId): InstanceEntry =
        rendezvousSubset(workspace.value, entries(), 1) { it.id.value }.first()

    private fun entries(): List<InstanceEntry> {
        val list = host.instances()
        if (list !== snapshot.list) snapshot = Snapshot(list, entriesOf(list))
        return snapshot.entries
    }

    private fun entriesOf(list: List<InstanceEntry>): List<InstanceEntry> {
        val others = list.filter { it.role == InstanceRole.ENTRY && it.state == InstanceState.LIVE }
        return others.filter { it.id != host.self.id } + host.self
    }
}
