package io.mimosatrail.bench.scenario

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.mimosatrail.standins.plain.PlainFaults

private const val HEAD = """
story: A report is sent
place: kiruna
ticket: samples/vaxelvakt.yaml
key: crew-key
entries: [entry-1]
steps:
"""

class ScenarioYamlTest :
    FunSpec({
        test("a scenario is parsed with its steps") {
            val text = HEAD + """
  - {do: report, name: r1, at: entry-1, service: defects, key: k1}
  - {do: break-application, at: defects-app, faults: {closedAfterRecord: 1}}
  - {do: expect, of: r1, outcome: [recorded, unknown]}
"""
            ScenarioYaml.parse(text).get()?.steps shouldBe listOf(
                ScenarioStep.Report("r1", "entry-1", "defects", "k1"),
                ScenarioStep.BreakApplication("defects-app", PlainFaults(closedAfterRecord = 1)),
                ScenarioStep.Expect("r1", listOf(ObservedOutcome.RECORDED, ObservedOutcome.UNKNOWN)),
            )
        }

        context("errors in the text are reported with their line") {
            withData(
                mapOf(
                    "unknown step" to ("  - {do: report-twice}" to "report-twice"),
                    "unknown field" to ("  - {do: kill, instance: a, gently: true}" to "gently"),
                    "unknown outcome" to ("  - {do: expect, of: a, outcome: [fine]}" to "fine"),
                ),
            ) { (step, name) ->
                val error = ScenarioYaml.parse(HEAD + "\n" + step).getError()
                error?.line shouldBe 9
                error?.detail.orEmpty() shouldContain name
            }
        }
    })
