package io.mimosatrail.logging

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.core.spi.ContextAwareBase

/**
 * Prevents Logback from searching for configuration files and from writing to the console before [setUpLogging]. The
 * search took a tenth of the start time of an entry.
 */
class QuietConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus =
        Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
}
