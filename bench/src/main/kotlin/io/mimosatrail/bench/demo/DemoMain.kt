package io.mimosatrail.bench.demo

import io.mimosatrail.logging.LogFormat
import io.mimosatrail.logging.LogLevel
import io.mimosatrail.logging.setUpLogging
import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

/** Runs the demo; exits with 0 only if every check passed. The argument is the root of the repository. */
fun main(arguments: Array<String>) {
    setUpLogging(LogFormat.TEXT, LogLevel.ERROR)
    val report = DemoReport(::println)
    try {
        runBlocking { Demo(report, arguments.firstOrNull() ?: ".").run() }
    } catch (e: Exception) {
        report.check("the demo ran to completion", false, "$e")
    }
    report.summary()
    exitProcess(if (report.allPassed) 0 else 1)
}
