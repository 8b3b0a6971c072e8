package io.mimosatrail.daemon.settings

/** Settings as given by flags and environment variables, not validated. A setting that was not given is null. */
class RawSettings(
    val role: String? = null,
    val instance: String? = null,
    val place: String? = null,
    val store: String? = null,
    val instances: String? = null,
    val peerSecrets: String? = null,
    val host: String? = null,
    val peerPort: String? = null,
    val httpPort: String? = null,
    val adminHost: String? = null,
    val adminPort: String? = null,
    val service: String? = null,
    val upstreamKind: String? = null,
    val upstream: String? = null,
    val maxBodyBytes: String? = null,
    val maxRequests: String? = null,
    val drainNoticeMillis: String? = null,
    val cutOnSecondSignal: Boolean = false,
)
