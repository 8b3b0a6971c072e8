package io.mimosatrail.cli.ticket

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.mimosatrail.cli.mimosatrail
import io.mimosatrail.cli.runTool
import io.mimosatrail.standins.store.StoreFaults
import io.mimosatrail.standins.store.StoreStandin
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path

private val samples = Path.of("..", "samples").toAbsolutePath().normalize()
private val vaxelvakt = samples.resolve("vaxelvakt.yaml").toString()
private val sabarmati = samples.resolve("sabarmati.yaml").toString()

private fun runCommand(vararg arguments: String): CliktCommandTestResult = mimosatrail().test(arguments.toList())

private fun ticketFile(text: String): String =
    Files.createTempFile("ticket", ".yaml").also { Files.writeString(it, text) }.toString()

private data class WrongCommandLine(val arguments: List<String>, val code: Int)

class TicketCommandsTest :
    FunSpec({
        val store = StoreStandin().start()
        afterSpec { store.stop() }

        context("the sample tickets are valid") {
            withData(vaxelvakt, sabarmati) { runCommand("ticket", "check", it).statusCode shouldBe 0 }
        }

        test("a ticket is submitted, submitted again, listed, shown and compared") {
            val options = listOf("--store", store.url, "--author", "anna")
            runCommand("ticket", "submit", vaxelvakt, *options.toTypedArray()).output shouldContain
                "is accepted, revision 1"
            runCommand("ticket", "submit", vaxelvakt, *options.toTypedArray()).output shouldContain
                "was accepted before"
            runCommand("ticket", "list", "--store", store.url).output shouldContain
                "revision 1: ticket 1041 of anna, 7 objects"
            runCommand("ticket", "show", "1041", "--store", store.url).output shouldContain "norrland-crews"
            runCommand("ticket", "diff", vaxelvakt, "--store", store.url).output shouldContain
                "same workspace norrland-crews"
            runCommand("ticket", "list", "--store", store.url, "--output", "json").output shouldContain
                """"ticket":1041"""
        }

        test("the output of show can be submitted under a later number") {
            runCommand("ticket", "submit", sabarmati, "--store", store.url).statusCode shouldBe 0
            val shown = runCommand("ticket", "show", "2017", "--store", store.url).stdout
            val next = ticketFile(shown.replace("ticket: 2017", "ticket: 2018"))
            runCommand("ticket", "submit", next, "--store", store.url).output shouldContain "ticket 2018 is accepted"
        }

        test("an older ticket is refused, and the message has the number of the newer one") {
            val newer = ticketFile("ticket: 50\nservices: [{id: lookup}]\n")
            val older = ticketFile("ticket: 49\nservices: [{id: lookup, slots: 4}]\n")
            runCommand("ticket", "submit", newer, "--store", store.url).statusCode shouldBe 0
            val refused = runCommand("ticket", "submit", older, "--store", store.url)
            refused.statusCode shouldBe 1
            refused.stderr shouldContain "service lookup is at ticket 50"
        }

        test("a reference to a missing object is located in the file") {
            val dangling = ticketFile("ticket: 60\nrules:\n  - id: r\n    service: nowhere\n")
            val refused = runCommand("ticket", "submit", dangling, "--store", store.url)
            refused.statusCode shouldBe 1
            refused.stderr shouldContain ":3:5: rules[0]: rule r names service nowhere, which does not exist"
        }

        test("a ticket is accepted once even if the reply to the write is lost") {
            store.faults.set(StoreFaults(closedAfterEffect = 1, prefix = "config/log/"))
            val ticket = ticketFile("ticket: 70\nservices: [{id: rosters}]\n")
            runCommand("ticket", "submit", ticket, "--store", store.url).statusCode shouldBe 0
            runCommand("ticket", "list", "--store", store.url).output.lines().count { "ticket 70 " in it } shouldBe 1
        }

        test("an unreachable store ends the command with exit code 3") {
            val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
            runCommand("ticket", "submit", vaxelvakt, "--store", "http://127.0.0.1:$port").statusCode shouldBe 3
        }

        context("a wrong command line ends with exit code 2") {
            withData(
                WrongCommandLine(listOf("ticket", "submit", vaxelvakt, "--store", "nowhere"), 2),
                WrongCommandLine(listOf("ticket", "check", "absent.yaml"), 2),
                WrongCommandLine(listOf("ticket", "list", "--store", "http://127.0.0.1:1", "--limit", "0"), 2),
                WrongCommandLine(listOf("ticket", "show", "0", "--store", "http://127.0.0.1:1"), 2),
                WrongCommandLine(listOf("ticket", "submit", vaxelvakt, "--store", "http://127.0.0.1:1", "--wait"), 2),
                WrongCommandLine(listOf("ticket", "merge"), 2),
            ) { case ->
                runTool(case.arguments.toTypedArray()) shouldBe case.code
            }
        }
    })
