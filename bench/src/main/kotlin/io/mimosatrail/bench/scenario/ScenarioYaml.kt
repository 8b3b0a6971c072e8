package io.mimosatrail.bench.scenario

import com.charleskorn.kaml.PolymorphismStyle
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Property that names the kind of a step. */
private const val STEP_PROPERTY = "do"

/** Reads stories from YAML. Unknown fields and steps are refused. */
object ScenarioYaml {
    private val yaml = Yaml(
        configuration = YamlConfiguration(
            strictMode = true,
            polymorphismStyle = PolymorphismStyle.Property,
            polymorphismPropertyName = STEP_PROPERTY,
        ),
    )

    /** Reads one story; the error tells the line and column. */
    fun parse(text: String): Result<Scenario, ScenarioError> = try {
        Ok(yaml.decodeFromString(Scenario.serializer(), text))
    } catch (e: YamlException) {
        Err(ScenarioError(e.line, e.column, "${e.path.toHumanReadableString()}: ${e.message}"))
    }
}

/** A fault of a story's text; [line] and [column] count from 1. */
data class ScenarioError(val line: Int, val column: Int, val detail: String)
