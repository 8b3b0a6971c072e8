package io.mimosatrail.logging

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.EncoderBase
import org.slf4j.LoggerFactory

private const val TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n"

/** Capacity of the queue of lines to write: one second of a busy process. */
private const val QUEUE_LINES = 4_096

/** Lines below WARN are dropped while fewer lines than this fit into the queue. */
private const val RESERVED_LINES = 512

/**
 * Sets up logging to standard output in [format] for lines of [level] and above; for libraries, of WARN and above.
 *
 * A separate thread writes the lines. If its queue is full, lines are dropped and the caller is not blocked.
 */
fun setUpLogging(format: LogFormat, level: LogLevel) {
    val loggers = LoggerFactory.getILoggerFactory() as LoggerContext
    loggers.reset()
    val root = loggers.getLogger(Logger.ROOT_LOGGER_NAME)
    root.level = Level.toLevel(level.name)
    root.addAppender(queue(loggers, console(format, loggers)))
    listOf("org.eclipse.jetty", "io.ktor", "org.http4k", "io.netty").forEach {
        loggers.getLogger(it).level = libraryLevel(level)
    }
}

/** Writes all queued lines. Call it before the process exits. */
fun flushLogging() {
    (LoggerFactory.getILoggerFactory() as LoggerContext).stop()
}

private fun queue(loggers: LoggerContext, console: ConsoleAppender<ILoggingEvent>) = AsyncAppender().apply {
    context = loggers
    queueSize = QUEUE_LINES
    discardingThreshold = RESERVED_LINES
    isNeverBlock = true
    addAppender(console)
    start()
}

private fun console(format: LogFormat, loggers: LoggerContext) = ConsoleAppender<ILoggingEvent>().apply {
    context = loggers
    encoder = encoder(format, loggers)
    start()
}

private fun libraryLevel(level: LogLevel): Level = if (level == LogLevel.ERROR) Level.ERROR else Level.WARN

private fun encoder(format: LogFormat, loggers: LoggerContext): EncoderBase<ILoggingEvent> = when (format) {
    LogFormat.JSON -> JsonEncoder().also { it.setWithContext(false) }
    LogFormat.TEXT -> PatternLayoutEncoder().also { it.pattern = TEXT_PATTERN }
}.also {
    it.context = loggers
    it.start()
}
