package io.mimosatrail.cli.run

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.option

/** Option for the URL of the platform's instance list. */
internal class InstanceOptions : OptionGroup("Instances") {
    private val url by option(
        "--instances",
        envvar = "MIMOSATRAIL_INSTANCES",
        help = "base URL of the platform's instance list",
    ).convert { value -> httpUrl(value) ?: fail("'$value' is not an http:// or https:// URL with a host") }

    /** Returns the URL. Ends the command with a usage error if the flag is missing. */
    fun required(): String = url ?: fail("--instances is required to query the instances", ExitCode.USAGE)
}
