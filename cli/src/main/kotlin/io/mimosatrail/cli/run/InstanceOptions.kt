package io.mimosatrail.cli.run

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.option

/** Where the platform's instance list is. */
internal class InstanceOptions : OptionGroup("Instances") {
    private val url by option(
        "--instances",
        envvar = "MIMOSATRAIL_INSTANCES",
        help = "base URL of the platform's instance list",
    ).convert { value -> httpUrl(value) ?: fail("'$value' is not an http:// or https:// URL with a host") }

    /** The URL, or the end of the command with the name of the missing flag. */
    fun required(): String = url ?: fail("--instances is needed to ask the instances", ExitCode.USAGE)
}
