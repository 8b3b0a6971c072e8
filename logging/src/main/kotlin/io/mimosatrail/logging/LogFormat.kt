package io.mimosatrail.logging

/** Shape of log lines. */
enum class LogFormat { TEXT, JSON }

/** Least level that is logged. */
enum class LogLevel { DEBUG, INFO, WARN, ERROR }
