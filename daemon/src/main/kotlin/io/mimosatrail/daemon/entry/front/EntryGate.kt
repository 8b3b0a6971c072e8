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

private const val SCHEME = "Bearer "
private const val RETRY_MILLIS = 1_000L

/** Decides whether the workspace has room for a request of so many tokens; null admits it. */
internal typealias Admit = (Workspace, Int) -> Refusal?

/** Checks each request before it is routed: readiness, the workspace's key, its limits. */
internal class EntryGate(
    private val configuration: () -> Configuration,
    private val ready: () -> Boolean,
    private val admit: Admit,
) {
    /** The workspace that the request's key belongs to. */
    fun authenticate(request: Request): Result<Workspace, Refusal> {
        if (!ready()) return Err(notRun(RefusalReason.NOT_READY, Step.ADMIT, "no configuration yet", RETRY_MILLIS))
        val headers = request.headerValues("Authorization").filterNotNull()
        if (headers.size >
            1
        ) {
            return Err(notRun(RefusalReason.MALFORMED, Step.AUTHENTICATE, "two Authorization headers"))
        }
        val key = headers.firstOrNull()?.takeIf { it.startsWith(SCHEME) }?.removePrefix(SCHEME)
        key ?: return Err(unauthenticated("a bearer key is required"))
        return configuration().workspaceOf(hash(key))?.let { Ok(it) } ?: Err(unauthenticated("the key is not known"))
    }

    /** Takes the request from the workspace's limits. */
    fun admit(workspace: Workspace, tokens: Int): Result<Unit, Refusal> =
        admit.invoke(workspace, tokens)?.let { Err(it) } ?: Ok(Unit)

    private fun hash(key: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))

    private fun unauthenticated(detail: String) = notRun(RefusalReason.UNAUTHENTICATED, Step.AUTHENTICATE, detail)
}
