package io.mimosatrail.bench.demo

import io.mimosatrail.logging.LogFormat
import io.mimosatrail.logging.LogLevel
import io.mimosatrail.logging.setUpLogging
import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

/** Runs the demo; exits 0 only if every check held. The argument is the repository's root. */
fun main(arguments: Array<String>) {
    setUpLogging(LogFormat.TEXT, LogLevel.ERROR)
    val report = DemoReport(::println)
    try {
        runBlocking { Demo(report, arguments.firstOrNull() ?: ".").run() }
    } catch (e: Exception) {
        report.check("the demo ran to its end", false, "$e")
    }
    report.summary()
    exitProcess(if (report.allHeld) 0 else 1)
}
