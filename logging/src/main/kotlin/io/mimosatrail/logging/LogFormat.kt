package io.mimosatrail.logging

/** Format of log lines. */
enum class LogFormat { TEXT, JSON }

/** Lowest level that is logged. */
enum class LogLevel { DEBUG, INFO, WARN, ERROR }
