package io.mimosatrail.core.pipeline

/** Checks that tests switch off to show that the invariants notice. */
internal class PipelineChecks(
    val trail: Boolean = true,
    val generation: Boolean = true,
    val duplicates: Boolean = true,
)
