package io.mimosatrail.core.routing

private const val SAME_PLACE_MICROS = 200.0
private const val OTHER_PLACE_MICROS = 5_000.0

/** Predicts the handover time by whether both stages are in the same place. */
val placeLinkCost: LinkCost = { from, to ->
    if (from.entry.place == to.entry.place) SAME_PLACE_MICROS else OTHER_PLACE_MICROS
}
