package io.mimosatrail.daemon.logging

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

/** Logs to standard error in [format], from [level] up; libraries log from WARN up. */
fun setUpLogging(format: LogFormat, level: LogLevel) {
    val loggers = LoggerFactory.getILoggerFactory() as LoggerContext
    loggers.reset()
    val appender = ConsoleAppender<ILoggingEvent>()
    appender.context = loggers
    appender.target = "System.err"
    appender.encoder = encoder(format, loggers)
    appender.start()
    val root = loggers.getLogger(Logger.ROOT_LOGGER_NAME)
    root.level = Level.toLevel(level.name)
    root.addAppender(appender)
    listOf("org.eclipse.jetty", "io.ktor", "org.http4k").forEach { loggers.getLogger(it).level = libraryLevel(level) }
}

private fun libraryLevel(level: LogLevel): Level = if (level == LogLevel.ERROR) Level.ERROR else Level.WARN

private fun encoder(format: LogFormat, loggers: LoggerContext): EncoderBase<ILoggingEvent> = when (format) {
    LogFormat.JSON -> JsonEncoder().also { it.setWithContext(false) }
    LogFormat.TEXT -> PatternLayoutEncoder().also { it.pattern = TEXT_PATTERN }
}.also {
    it.context = loggers
    it.start()
}
