package io.mimosatrail.cli.run

/** Exit codes of the tool. */
enum class ExitCode(val code: Int) {
    /** The command succeeded. */
    OK(0),

    /** The ticket or the input was refused, or the requested revision is not in force at every instance. */
    REFUSED(1),

    /** The command line is wrong. */
    USAGE(2),

    /**
     * The store or the instance list was not available, the ticket could not be appended, or it was not in force at
     * every instance in time. If a write may have taken effect, the message says so.
     */
    UNAVAILABLE(3),
}
