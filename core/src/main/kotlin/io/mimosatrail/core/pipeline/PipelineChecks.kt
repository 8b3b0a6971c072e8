package io.mimosatrail.core.pipeline

/** Checks that tests can disable to show that a run without them produces wrong answers. */
internal class PipelineChecks(
    val trail: Boolean = true,
    val generation: Boolean = true,
    val duplicates: Boolean = true,
)
