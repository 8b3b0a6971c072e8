package io.mimosatrail.daemon.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.mimosatrail.core.membership.InstanceRole

private const val SECRET = "0123456789abcdef"

private fun settings(
    role: String? = "entry",
    store: String? = "http://127.0.0.1:1",
    peerSecrets: String? = SECRET,
    httpPort: String? = null,
    service: String? = null,
    upstreamKind: String? = null,
    upstream: String? = null,
) = RawSettings(
    role = role,
    instance = "a1",
    place = "lulea",
    store = store,
    instances = "http://127.0.0.1:2",
    peerSecrets = peerSecrets,
    httpPort = httpPort,
    service = service,
    upstreamKind = upstreamKind,
    upstream = upstream,
)

private class InvalidSettings(val name: String, val raw: RawSettings, val flags: List<String>) : WithDataTestName {
    override fun dataTestName() = name
}

class SettingsCheckTest :
    FunSpec({
        context("the error lists the flags of all invalid settings") {
            withData(
                InvalidSettings("unknown role", settings(role = "controller"), listOf("--role")),
                InvalidSettings("port too high", settings(httpPort = "70000"), listOf("--http-port")),
                InvalidSettings("port not a number", settings(httpPort = "http"), listOf("--http-port")),
                InvalidSettings("store without host", settings(store = "localhost"), listOf("--store")),
                InvalidSettings("short secret", settings(peerSecrets = "$SECRET,short"), listOf("--peer-secrets")),
                InvalidSettings("upstream of an entry", settings(upstream = "http://h"), listOf("--upstream")),
                InvalidSettings(
                    "sidecar without upstream",
                    settings(role = "sidecar"),
                    listOf("--upstream-kind", "--service", "--upstream"),
                ),
                InvalidSettings("two errors", settings(role = "x", store = null), listOf("--role", "--store")),
                InvalidSettings(
                    "no settings",
                    RawSettings(),
                    listOf("--role", "--instance-id", "--place", "--store", "--instances", "--peer-secrets"),
                ),
            ) { case ->
                case.raw.check().getError().orEmpty().map { it.flag } shouldContainExactly case.flags
            }
        }

        test("valid settings of a sidecar are accepted") {
            val raw = settings("sidecar", service = "defects", upstreamKind = "plain", upstream = "http://127.0.0.1:3/")
            val checked = raw.check().get()
            checked?.role shouldBe InstanceRole.SIDECAR
            checked?.upstream?.url shouldBe "http://127.0.0.1:3"
        }

        test("neither errors nor settings contain secrets when printed") {
            settings(peerSecrets = "hidden").check().getError().toString() shouldNotContain "hidden"
            settings().check().get().toString() shouldNotContain SECRET
        }
    })
