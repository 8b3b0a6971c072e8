package io.mimosatrail.daemon.entry.admission

import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.membership.InstanceState
import io.mimosatrail.core.routing.rendezvousSubset
import io.mimosatrail.daemon.host.Host

/** The live entries of the instance list. Each workspace has one of them as its home, which lends its permits. */
internal class LiveEntries(private val host: Host) {
    private class Snapshot(val list: List<InstanceEntry>, val entries: List<InstanceEntry>)

    @Volatile
    private var snapshot = Snapshot(emptyList(), listOf(host.self))

    /** Number of live entries, including this one. */
    fun count(): Int = entries().size

    /** The home of [workspace]. Entries with the same instance list choose the same one. */
    fun homeOf(workspace: WorkspaceId): InstanceEntry =
        rendezvousSubset(workspace.value, entries(), 1) { it.id.value }.first()

    private fun entries(): List<InstanceEntry> {
        val list = host.instances()
        if (list !== snapshot.list) snapshot = Snapshot(list, entriesOf(list))
        return snapshot.entries
    }

    private fun entriesOf(list: List<InstanceEntry>): List<InstanceEntry> {
        val listed = list.filter { it.role == InstanceRole.ENTRY && it.state == InstanceState.LIVE }
        return listed.filter { it.id != host.self.id } + host.self
    }
}
