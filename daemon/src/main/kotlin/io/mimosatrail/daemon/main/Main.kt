package io.mimosatrail.daemon.main

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.mimosatrail.daemon.Daemon
import io.mimosatrail.daemon.settings.DaemonSettings
import io.mimosatrail.logging.LogFormat
import io.mimosatrail.logging.LogLevel
import io.mimosatrail.logging.flushLogging
import io.mimosatrail.logging.setUpLogging
import kotlinx.coroutines.runBlocking
import sun.misc.Signal
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.system.exitProcess

private const val EXIT_OK = 0
private const val EXIT_FAILED = 1
private const val EXIT_USAGE = 2
private const val EXIT_ABORTED = 3

private val log = KotlinLogging.logger("daemon")

/** Starts the daemon with the given arguments and stops it on SIGTERM or SIGINT. */
fun main(arguments: Array<String>) {
    val command = DaemonCommand(::serve)
    try {
        command.parse(arguments)
    } catch (e: UsageError) {
        command.echoFormattedHelp(e)
        exitProcess(EXIT_USAGE)
    } catch (e: CliktError) {
        command.echoFormattedHelp(e)
        exitProcess(e.statusCode)
    }
}

private fun serve(settings: DaemonSettings, format: LogFormat, level: LogLevel) {
    setUpLogging(format, level)
    val daemon = Daemon(settings)
    val stopping = CountDownLatch(1)
    handleSignals(settings, stopping)
    try {
        runBlocking { daemon.start() }
    } catch (e: Exception) {
        log.error(e) { "daemon: $settings could not start: ${e.message}" }
        exitProcess(EXIT_FAILED)
    }
    stopping.await()
    runBlocking { daemon.stop() }
    flushLogging()
    exitProcess(EXIT_OK)
}

private fun handleSignals(settings: DaemonSettings, stopping: CountDownLatch) {
    val signals = AtomicInteger()
    listOf("TERM", "INT").forEach { name ->
        Signal.handle(Signal(name)) {
            if (signals.incrementAndGet() > 1 && settings.cutOnSecondSignal) Runtime.getRuntime().halt(EXIT_ABORTED)
            log.info { "daemon: received SIG$name, stopping after requests in flight" }
            stopping.countDown()
        }
    }
}
