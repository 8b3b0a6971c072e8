package io.mimosatrail.daemon.main

import com.github.ajalt.clikt.completion.CompletionCandidates
import com.github.ajalt.clikt.completion.completionOption
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.michaelbull.result.getOrElse
import io.mimosatrail.daemon.settings.DaemonSettings
import io.mimosatrail.daemon.settings.RawSettings
import io.mimosatrail.daemon.settings.check
import io.mimosatrail.logging.LogFormat
import io.mimosatrail.logging.LogLevel

/** Parses the flags and environment variables of the daemon and passes the validated settings to [serve]. */
internal class DaemonCommand(private val serve: (DaemonSettings, LogFormat, LogLevel) -> Unit) :
    CliktCommand(name = "mimosatraild") {
    init {
        context { autoEnvvarPrefix = "MIMOSATRAIL" }
        completionOption()
    }

    private val role by option(
        help = "role of this process: entry or sidecar",
        completionCandidates = CompletionCandidates.Fixed("entry", "sidecar"),
    )
    private val instanceId by option(help = "name of this instance, unique on the platform")
    private val place by option(help = "place (data centre) of this instance")
    private val store by option(help = "URL of the platform's key-value store")
    private val instances by option(help = "URL of the platform's instance list")
    private val peerSecrets by option(
        help = "secrets shared by all processes, separated by commas; this one uses the first and accepts any",
    )
    private val host by option(help = "address for callers and peers (default 127.0.0.1)")
    private val peerPort by option(help = "port for peers, 0 selects a free one (default 0)")
    private val httpPort by option(help = "port for callers, with --role entry (default 0)")
    private val adminHost by option(help = "address of the admin interface (default 127.0.0.1)")
    private val adminPort by option(help = "port of the admin interface (default 0)")
    private val service by option(help = "service of the upstream, with --role sidecar")
    private val upstreamKind by option(
        help = "engine or plain, with --role sidecar",
        completionCandidates = CompletionCandidates.Fixed("engine", "plain"),
    )
    private val upstream by option(help = "URL of the upstream, with --role sidecar")
    private val maxBodyBytes by option(help = "largest request body in bytes (default 1048576)")
    private val maxRequests by option(help = "largest number of requests served at once (default 1000)")
    private val drainNoticeMs by option(
        help = "ms between not ready and refusing new work at a planned stop (default 5000)",
    )
    private val cutOnSecondSignal by option(
        help = "exit at a second signal without waiting for requests in flight",
    ).flag()
    private val logFormat by option(help = "format of log lines: text or json (default text)").enum<LogFormat> {
        it.name.lowercase()
    }.default(LogFormat.TEXT)
    private val logLevel by option(help = "lowest level that is logged (default info)").enum<LogLevel> {
        it.name.lowercase()
    }
        .default(LogLevel.INFO)

    override fun help(context: Context) =
        "Routes requests through model pipelines and to plain services. Each flag has an environment variable."

    override fun run() {
        val settings = raw().check().getOrElse { faults ->
            throw UsageError(faults.joinToString("\n"))
        }
        serve(settings, logFormat, logLevel)
    }

    private fun raw() = RawSettings(
        role = role,
        instance = instanceId,
        place = place,
        store = store,
        instances = instances,
        peerSecrets = peerSecrets,
        host = host,
        peerPort = peerPort,
        httpPort = httpPort,
        adminHost = adminHost,
        adminPort = adminPort,
        service = service,
        upstreamKind = upstreamKind,
        upstream = upstream,
        maxBodyBytes = maxBodyBytes,
        maxRequests = maxRequests,
        drainNoticeMillis = drainNoticeMs,
        cutOnSecondSignal = cutOnSecondSignal,
    )
}
