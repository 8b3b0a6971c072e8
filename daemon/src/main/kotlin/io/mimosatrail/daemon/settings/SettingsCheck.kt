package io.mimosatrail.daemon.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.membership.InstanceRole
import java.net.URI
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_PORT = 65_535
private const val MIN_SECRET_CHARACTERS = 16
private const val MAX_BODY_BYTES = 64 * 1_048_576
private const val MAX_REQUESTS = 20_000
private const val MAX_NOTICE_MILLIS = 600_000
private val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

/** Validates all settings. The error lists every invalid one. */
fun RawSettings.check(): Result<DaemonSettings, List<SettingFault>> = SettingsCheck(this).run()

private class SettingsCheck(private val raw: RawSettings) {
    private val faults = mutableListOf<SettingFault>()

    fun run(): Result<DaemonSettings, List<SettingFault>> {
        val role = choice("--role", raw.role, InstanceRole.entries)
        val settings = DaemonSettings(
            role = role ?: InstanceRole.ENTRY,
            instance = InstanceId(name("--instance-id", raw.instance)),
            place = PlaceId(name("--place", raw.place)),
            store = url("--store", raw.store),
            instances = url("--instances", raw.instances),
            peerSecrets = secrets(),
            host = raw.host ?: "127.0.0.1",
            peerPort = number("--peer-port", raw.peerPort, 0..MAX_PORT, 0),
            httpPort = number("--http-port", raw.httpPort, 0..MAX_PORT, 0),
            adminHost = raw.adminHost ?: "127.0.0.1",
            adminPort = number("--admin-port", raw.adminPort, 0..MAX_PORT, 0),
            upstream = if (role == InstanceRole.SIDECAR) upstream() else rejectUpstream(),
            limits = limits(),
            drainNotice = number("--drain-notice-ms", raw.drainNoticeMillis, 0..MAX_NOTICE_MILLIS, 5_000).milliseconds,
            cutOnSecondSignal = raw.cutOnSecondSignal,
        )
        return if (faults.isEmpty()) Ok(settings) else Err(faults)
    }

    private fun limits() = FrontLimits(
        maxBodyBytes = number("--max-body-bytes", raw.maxBodyBytes, 1..MAX_BODY_BYTES, 1_048_576),
        maxRequests = number("--max-requests", raw.maxRequests, 1..MAX_REQUESTS, 1_000),
    )

    private fun upstream(): UpstreamSettings {
        val kind = choice("--upstream-kind", raw.upstreamKind, UpstreamKind.entries) ?: UpstreamKind.PLAIN
        return UpstreamSettings(ServiceId(name("--service", raw.service)), kind, url("--upstream", raw.upstream))
    }

    private fun rejectUpstream(): UpstreamSettings? {
        val given = listOf(
            "--service" to raw.service,
            "--upstream-kind" to raw.upstreamKind,
            "--upstream" to raw.upstream,
        )
        given.forEach { (flag, value) ->
            if (value != null) faults += SettingFault(flag, value, "absent with --role entry")
        }
        return null
    }

    private fun <T : Enum<T>> choice(flag: String, value: String?, options: List<T>): T? {
        val found = options.firstOrNull { it.name.lowercase() == value }
        if (found == null) faults += SettingFault(flag, value, options.joinToString(" or ") { it.name.lowercase() })
        return found
    }

    private fun name(flag: String, value: String?): String {
        if (value != null && namePattern.matches(value)) return value
        faults += SettingFault(flag, value, "1 to 63 letters, digits, dots, hyphens or underscores")
        return "invalid"
    }

    private fun url(flag: String, value: String?): String {
        val uri = value?.let { runCatching { URI(it) }.getOrNull() }
        if (uri?.scheme in setOf("http", "https") && uri?.host != null) return value.orEmpty().trimEnd('/')
        faults += SettingFault(flag, value, "an http or https URL with a host")
        return ""
    }

    private fun secrets(): List<String> {
        val secrets = raw.peerSecrets.orEmpty().split(',').filter { it.isNotEmpty() }
        if (secrets.isEmpty() || secrets.any { it.length < MIN_SECRET_CHARACTERS }) {
            val allowed = "one or more secrets of $MIN_SECRET_CHARACTERS or more characters, separated by commas"
            faults += SettingFault("--peer-secrets", null, allowed)
        }
        return secrets
    }

    private fun number(flag: String, value: String?, allowed: IntRange, default: Int): Int {
        if (value == null) return default
        value.toIntOrNull()?.takeIf { it in allowed }?.let { return it }
        faults += SettingFault(flag, value, "a whole number from ${allowed.first} to ${allowed.last}")
        return default
    }
}
