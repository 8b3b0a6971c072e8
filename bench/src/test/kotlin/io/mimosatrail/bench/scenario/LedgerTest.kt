package io.mimosatrail.bench.scenario

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

class LedgerTest :
    FunSpec({
        val first = MadeRecord("defects", "k", 1)
        val second = MadeRecord("defects", "k", 2)

        context("reports") {
            withData(
                mapOf(
                    "answered and recorded" to ReportCase(listOf(recorded(1)), listOf(first), emptyList()),
                    "unknown and recorded" to ReportCase(listOf(told(ToldOutcome.UNKNOWN)), listOf(first), emptyList()),
                    "unknown and not recorded" to
                        ReportCase(listOf(told(ToldOutcome.UNKNOWN)), emptyList(), emptyList()),
                    "refused, then recorded" to
                        ReportCase(listOf(told(ToldOutcome.NOT_RUN), recorded(1)), listOf(first), emptyList()),
                    "recorded twice" to
                        ReportCase(listOf(recorded(1)), listOf(first, second), listOf(Promise.AT_MOST_ONCE)),
                    "told not run and recorded" to
                        ReportCase(listOf(told(ToldOutcome.NOT_RUN)), listOf(first), listOf(Promise.TRUTHFUL_NOT_RUN)),
                    "answered and lost" to ReportCase(listOf(recorded(1)), emptyList(), listOf(Promise.NOT_LOST)),
                    "answered for another" to
                        ReportCase(listOf(recorded(7)), listOf(first), listOf(Promise.OWN_ANSWER)),
                ),
            ) { (told, made, broken) ->
                val ledger = Ledger()
                told.forEach { ledger.note(it) }
                ledger.violations(made).map { it.promise } shouldBe broken
            }
        }

        context("model answers") {
            withData(
                mapOf(
                    "whole" to AnswerCase("abcd", true, null),
                    "cut and said so" to AnswerCase("ab", false, null),
                    "cut and looks whole" to AnswerCase("ab", true, Promise.WHOLE_ANSWER),
                    "a token doubled" to AnswerCase("abbc", false, Promise.RIGHT_TOKENS),
                ),
            ) { (text, finished, broken) ->
                val ledger = Ledger()
                ledger.note(ToldAnswer("summary", text, finished, "abcd"))
                ledger.violations(emptyList()).map { it.promise } shouldBe listOfNotNull(broken)
            }
        }
    })

private data class ReportCase(val told: List<ToldReport>, val made: List<MadeRecord>, val broken: List<Promise>)

private data class AnswerCase(val text: String, val finished: Boolean, val broken: Promise?)

private fun told(outcome: ToldOutcome) = ToldReport("defects", "k", outcome, null)

private fun recorded(id: Long) = ToldReport("defects", "k", ToldOutcome.RECORDED, id)
