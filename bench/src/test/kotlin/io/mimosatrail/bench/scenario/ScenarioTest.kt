package io.mimosatrail.bench.scenario

import com.github.michaelbull.result.getOrThrow
import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.concurrency.TestExecutionMode
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlin.io.path.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.time.Duration.Companion.minutes

/** Scenarios mostly wait, so several run concurrently. */
private const val CONCURRENT_SCENARIOS = 4
private val root = Path("..").toAbsolutePath().normalize()

@OptIn(ExperimentalKotest::class)
class ScenarioTest :
    FunSpec({
        testExecutionMode = TestExecutionMode.LimitedConcurrency(CONCURRENT_SCENARIOS)

        root.resolve("scenarios").listDirectoryEntries("*.yaml").sortedBy { it.name }.forEach { file ->
            val scenario = ScenarioYaml.parse(file.readText()).getOrThrow { AssertionError("${file.name}: $it") }
            test("${scenario.title} (${file.name})").config(timeout = 3.minutes) {
                withContext(Dispatchers.IO) { ScenarioRun(scenario, root).run() } shouldBe emptyList()
            }
        }
    })
