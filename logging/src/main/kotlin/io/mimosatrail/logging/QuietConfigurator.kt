package io.mimosatrail.logging

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.core.spi.ContextAwareBase

/**
 * Keeps Logback from looking for configuration files and from writing to the console before [setUpLogging]; the search
 * is a tenth of the time in which an entry starts.
 */
class QuietConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus =
        Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
}
