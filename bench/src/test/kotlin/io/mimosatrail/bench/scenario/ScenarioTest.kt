package io.mimosatrail.bench.scenario

import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.io.path.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.time.Duration.Companion.minutes

private val root = Path("..").toAbsolutePath().normalize()

class ScenarioTest :
    FunSpec({
        root.resolve("scenarios").listDirectoryEntries("*.yaml").sortedBy { it.name }.forEach { file ->
            val scenario = ScenarioYaml.parse(file.readText()).getOrThrow { AssertionError("${file.name}: $it") }
            test("${scenario.story} (${file.name})").config(timeout = 3.minutes) {
                ScenarioRun(scenario, root).run() shouldBe emptyList()
            }
        }
    })
