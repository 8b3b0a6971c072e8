package io.mimosatrail.bench.scenario

import com.charleskorn.kaml.PolymorphismStyle
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Property that selects the kind of a step. */
private const val STEP_PROPERTY = "do"

/** Reads scenarios from YAML. Unknown properties and kinds of step are errors. */
object ScenarioYaml {
    private val yaml = Yaml(
        configuration = YamlConfiguration(
            strictMode = true,
            polymorphismStyle = PolymorphismStyle.Property,
            polymorphismPropertyName = STEP_PROPERTY,
        ),
    )

    /** Reads one scenario, or returns the first error and its position. */
    fun parse(text: String): Result<Scenario, ScenarioParseError> = try {
        Ok(yaml.decodeFromString(Scenario.serializer(), text))
    } catch (e: YamlException) {
        Err(ScenarioParseError(e.line, e.column, "${e.path.toHumanReadableString()}: ${e.message}"))
    }
}

/** An error in the text of a scenario; [line] and [column] count from 1. */
data class ScenarioParseError(val line: Int, val column: Int, val detail: String)
