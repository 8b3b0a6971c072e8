package io.mimosatrail.core.spread

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.routing.rendezvousSubset
import io.mimosatrail.core.routing.rendezvousWeight

/** What one process derives from the list of live members: the ranking within its place, and its neighbours. */
internal class SpreadView(self: SpreadMember, listed: List<SpreadMember>, settings: SpreadSettings) {
    private val others = listed.filter { it.id != self.id }.distinctBy { it.id }
    private val near = others.filter { it.place == self.place }

    /** True if the list has no member, not even this process: it has not been read yet. */
    val isEmpty: Boolean = listed.isEmpty()

    /** The first [SpreadSettings.pushers] members of the place by hash; the first of these watch the store. */
    val ranked: List<InstanceId> = (near + self).map { it.id }
        .sortedWith(
            compareByDescending<InstanceId> {
                rendezvousWeight(self.place.value, it.value)
            }.thenBy { it.value },
        )
        .take(settings.pushers)

    /** Position of this process among [ranked], or null if it is not among them. */
    val rank: Int? = ranked.indexOf(self.id).takeIf { it >= 0 }

    /** Every other member of the place. */
    val place: List<InstanceId> = near.map { it.id }

    /** The members that this process checks. */
    val neighbours: List<InstanceId> =
        neighboursAmong(self, near, settings.nearNeighbours) +
            neighboursAmong(self, others.filter { it.place != self.place }, settings.farNeighbours)

    private fun neighboursAmong(self: SpreadMember, members: List<SpreadMember>, count: Int): List<InstanceId> =
        rendezvousSubset(self.id.value, members, count) { it.id.value }.map { it.id }
}
