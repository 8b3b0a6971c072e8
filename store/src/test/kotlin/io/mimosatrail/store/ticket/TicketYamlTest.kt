package io.mimosatrail.store.ticket

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.mimosatrail.core.config.problems

private data class BadText(val text: String, val line: Int, val column: Int, val detail: String)

private fun expandingAliases(depth: Int) = buildString {
    append("a0: &a0 [x, x]\n")
    (1..depth).forEach { append("a$it: &a$it [*a${it - 1}, *a${it - 1}, *a${it - 1}, *a${it - 1}]\n") }
}

class TicketYamlTest :
    FunSpec({
        context("invalid text is refused with its line and column") {
            withData(
                BadText("ticket: 1\ncolour: red\n", 2, 1, "colour"),
                BadText("ticket: one\n", 1, 9, "one"),
                BadText("workspaces: []\n", 1, 1, "ticket"),
                BadText("ticket: 1\nticket: 2\n", 2, 1, "ticket"),
                BadText("ticket: 1\nservices:\n  - id: a\n    slot: 3\n", 4, 5, "slot"),
                BadText("ticket: 1\nservices: &s [ ]\n", 2, 11, "anchors"),
                BadText("ticket: [1\n", 2, 1, ""),
                BadText("", 1, 1, ""),
                BadText("- 1\n", 1, 1, ""),
            ) { case ->
                val error = checkNotNull(TicketYaml.parse(case.text).getError())
                (error.line to error.column) shouldBe (case.line to case.column)
                error.detail shouldContain case.detail
            }
        }

        test("aliases that expand exponentially are refused") {
            checkNotNull(TicketYaml.parse(expandingAliases(60)).getError()).line shouldBe 1
        }

        test("a text over the size limit is refused") {
            val text = "ticket: 1\n#" + "x".repeat(MAX_TICKET_BYTES)
            checkNotNull(TicketYaml.parse(text).getError()).detail shouldContain "$MAX_TICKET_BYTES"
        }

        test("a ticket of 10,000 objects is read") {
            val text = "ticket: 5\nservices:\n" + (1..10_000).joinToString("") { "  - id: service-$it\n" }
            TicketYaml.parse(text).get()?.ticket?.services?.size shouldBe 10_000
        }

        test("problems of values are located in the file") {
            val text = "ticket: 7\nservices:\n  - id: a\n  - id: a\n    slots: 0\n"
            val document = checkNotNull(TicketYaml.parse(text).get())
            document.ticket.problems().map { document.locate(it) }.map { it.line to it.column } shouldContainExactly
                listOf(5 to 12, 4 to 9)
        }
    })
