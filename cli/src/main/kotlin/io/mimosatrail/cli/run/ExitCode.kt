package io.mimosatrail.cli.run

/** Exit codes of the tool. */
enum class ExitCode(val code: Int) {
    /** Done. */
    OK(0),

    /** The ticket or the input was refused. */
    REFUSED(1),

    /** The command line is wrong. */
    USAGE(2),

    /** The platform did not answer; the message says whether something may have taken effect. */
    UNAVAILABLE(3),
}
