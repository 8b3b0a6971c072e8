package io.mimosatrail.bench.scenario

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A test scenario: the processes to start, the steps to run and the outcomes that callers must see.
 *
 * [ticket] is the path of the first change ticket, relative to the root of the repository. [key] is the bearer key of
 * the caller's workspace.
 */
@Serializable
data class Scenario(
    @SerialName("story") val title: String,
    val place: String,
    val ticket: String,
    val key: String,
    val entries: List<String>,
    val runners: List<RunnerSpec> = emptyList(),
    val applications: List<ApplicationSpec> = emptyList(),
    val steps: List<ScenarioStep>,
)

/**
 * An engine that holds [layers] (written `first-end`, end exclusive) of a model of [modelLayers] layers, and the
 * sidecar beside it.
 */
@Serializable
data class RunnerSpec(
    val name: String,
    val service: String,
    val model: String,
    val layers: String,
    @SerialName("of") val modelLayers: Int,
    val kind: String = "gpu-l",
) {
    init {
        require(Regex("\\d+-\\d+").matches(layers)) { "layers of $name must be written first-end, such as 0-16" }
    }

    /** First layer held. */
    val firstLayer: Int get() = layers.substringBefore('-').toInt()

    /** One past the last layer held. */
    val endLayer: Int get() = layers.substringAfter('-').toInt()
}

/**
 * A plain service with one sidecar per instance; all instances share the same records. The [sidecars] are started with
 * the scenario, those in [spares] only by a `start` step.
 */
@Serializable
data class ApplicationSpec(
    val name: String,
    val service: String,
    val sidecars: List<String>,
    val spares: List<String> = emptyList(),
)
