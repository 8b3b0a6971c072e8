package io.mimosatrail.bench.scenario

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

class InvariantCheckerTest :
    FunSpec({
        val first = ApplicationRecord("defects", "k", 1)
        val second = ApplicationRecord("defects", "k", 2)

        context("reports") {
            withData(
                mapOf(
                    "answered and recorded" to ReportCase(listOf(recorded(1)), listOf(first), emptyList()),
                    "unknown and recorded" to
                        ReportCase(listOf(ended(ObservedOutcome.UNKNOWN)), listOf(first), emptyList()),
                    "unknown and not recorded" to
                        ReportCase(listOf(ended(ObservedOutcome.UNKNOWN)), emptyList(), emptyList()),
                    "not run at first, then recorded" to
                        ReportCase(listOf(ended(ObservedOutcome.NOT_RUN), recorded(1)), listOf(first), emptyList()),
                    "recorded twice" to
                        ReportCase(listOf(recorded(1)), listOf(first, second), listOf(Invariant.AT_MOST_ONCE)),
                    "not run and still recorded" to
                        ReportCase(
                            listOf(ended(ObservedOutcome.NOT_RUN)),
                            listOf(first),
                            listOf(Invariant.TRUTHFUL_NOT_RUN),
                        ),
                    "answered but not recorded" to
                        ReportCase(listOf(recorded(1)), emptyList(), listOf(Invariant.NOT_LOST)),
                    "answered with the id of another record" to
                        ReportCase(listOf(recorded(7)), listOf(first), listOf(Invariant.OWN_ANSWER)),
                ),
            ) { (reports, records, violated) ->
                val checker = InvariantChecker()
                reports.forEach { checker.observe(it) }
                checker.violations(records).map { it.invariant } shouldBe violated
            }
        }

        context("model answers") {
            withData(
                mapOf(
                    "complete" to AnswerCase("abcd", true, null),
                    "cut, without finish event" to AnswerCase("ab", false, null),
                    "cut, with finish event" to AnswerCase("ab", true, Invariant.WHOLE_ANSWER),
                    "a token sent twice" to AnswerCase("abbc", false, Invariant.RIGHT_TOKENS),
                ),
            ) { (text, isFinished, violated) ->
                val checker = InvariantChecker()
                checker.observe(ObservedAnswer("summary", text, isFinished, "abcd"))
                checker.violations(emptyList()).map { it.invariant } shouldBe listOfNotNull(violated)
            }
        }
    })

private data class ReportCase(
    val reports: List<ObservedReport>,
    val records: List<ApplicationRecord>,
    val violated: List<Invariant>,
)

private data class AnswerCase(val text: String, val isFinished: Boolean, val violated: Invariant?)

private fun ended(outcome: ObservedOutcome) = ObservedReport("defects", "k", outcome, null)

private fun recorded(id: Long) = ObservedReport("defects", "k", ObservedOutcome.RECORDED, id)
