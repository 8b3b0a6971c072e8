package io.mimosatrail.bench.scenario

import kotlinx.serialization.Serializable

/**
 * One story: what runs, what is done to it, and what callers must see.
 *
 * [ticket] is the file of the first change ticket, from the root of the repository, [key] the bearer key of the
 * caller's workspace.
 */
@Serializable
data class Scenario(
    val story: String,
    val place: String,
    val ticket: String,
    val key: String,
    val entries: List<String>,
    val runners: List<RunnerSpec> = emptyList(),
    val applications: List<ApplicationSpec> = emptyList(),
    val steps: List<ScenarioStep>,
)

/** A model engine that holds [layers] (written `first-end`) of a model of [of] layers, and the sidecar beside it. */
@Serializable
data class RunnerSpec(
    val name: String,
    val service: String,
    val model: String,
    val layers: String,
    val of: Int,
    val kind: String = "gpu-l",
) {
    init {
        require(Regex("\\d+-\\d+").matches(layers)) { "layers of $name must read first-end, such as 0-16" }
    }

    /** First layer held. */
    val firstLayer: Int get() = layers.substringBefore('-').toInt()

    /** One past the last layer held. */
    val endLayer: Int get() = layers.substringAfter('-').toInt()
}

/**
 * A plain service of several instances over the same records, with one sidecar for each; those of [spares] start by a
 * step.
 */
@Serializable
data class ApplicationSpec(
    val name: String,
    val service: String,
    val sidecars: List<String>,
    val spares: List<String> = emptyList(),
)
