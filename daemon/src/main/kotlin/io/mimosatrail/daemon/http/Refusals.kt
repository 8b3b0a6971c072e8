package io.mimosatrail.daemon.http

import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step

/** A refusal by this process, before anything was sent to an upstream. */
internal fun notRun(reason: RefusalReason, step: Step, detail: String, retryAfterMillis: Long? = null): Refusal =
    Refusal(Outcome.NOT_RUN, reason, step, null, detail, retryAfterMillis)
