package io.mimosatrail.daemon.entry.front

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.daemon.http.notRun
import org.http4k.core.Request
import java.security.MessageDigest
import java.util.HexFormat

private const val BEARER_PREFIX = "Bearer "
private const val RETRY_MILLIS = 1_000L

/** Checks a request of the given number of tokens against the limits of a workspace; null if it may run. */
internal typealias LimitCheck = (Workspace, Int) -> Refusal?

/** Checks every request before it is routed: the readiness of the entry, the API key and the workspace's limits. */
internal class EntryGate(
    private val configuration: () -> Configuration,
    private val isReady: () -> Boolean,
    private val checkLimits: LimitCheck,
) {
    /** The workspace to which the bearer key of [request] belongs. */
    fun authenticate(request: Request): Result<Workspace, Refusal> {
        if (!isReady()) return Err(notRun(RefusalReason.NOT_READY, Step.ADMIT, "no configuration yet", RETRY_MILLIS))
        val headers = request.headerValues("Authorization").filterNotNull()
        if (headers.size > 1) {
            return Err(notRun(RefusalReason.MALFORMED, Step.AUTHENTICATE, "two Authorization headers"))
        }
        val key = headers.firstOrNull()?.takeIf { it.startsWith(BEARER_PREFIX) }?.removePrefix(BEARER_PREFIX)
        key ?: return Err(unauthenticated("a bearer key is required"))
        return configuration().workspaceOf(hash(key))?.let { Ok(it) } ?: Err(unauthenticated("the key is not known"))
    }

    /** Charges a request of [tokens] tokens to the limits of [workspace], or refuses it. */
    fun admit(workspace: Workspace, tokens: Int): Result<Unit, Refusal> =
        checkLimits(workspace, tokens)?.let { Err(it) } ?: Ok(Unit)

    private fun hash(key: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))

    private fun unauthenticated(detail: String) = notRun(RefusalReason.UNAUTHENTICATED, Step.AUTHENTICATE, detail)
}
