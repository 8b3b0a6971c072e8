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

private class BadSettings(val name: String, val raw: RawSettings, val flags: List<String>) : WithDataTestName {
    override fun dataTestName() = name
}

class SettingsCheckTest :
    FunSpec({
        context("every fault is listed at once, with its flag") {
            withData(
                BadSettings("unknown role", settings(role = "controller"), listOf("--role")),
                BadSettings("port too high", settings(httpPort = "70000"), listOf("--http-port")),
                BadSettings("port not a number", settings(httpPort = "http"), listOf("--http-port")),
                BadSettings("store without host", settings(store = "localhost"), listOf("--store")),
                BadSettings("short secret", settings(peerSecrets = "$SECRET,short"), listOf("--peer-secrets")),
                BadSettings("upstream of an entry", settings(upstream = "http://h"), listOf("--upstream")),
                BadSettings(
                    "sidecar alone",
                    settings(role = "sidecar"),
                    listOf("--upstream-kind", "--service", "--upstream"),
                ),
                BadSettings("two faults", settings(role = "x", store = null), listOf("--role", "--store")),
                BadSettings(
                    "nothing given",
                    RawSettings(),
                    listOf("--role", "--instance-id", "--place", "--store", "--instances", "--peer-secrets"),
                ),
            ) { case ->
                case.raw.check().getError().orEmpty().map { it.flag } shouldContainExactly case.flags
            }
        }

        test("good settings of a sidecar pass") {
            val raw = settings("sidecar", service = "defects", upstreamKind = "plain", upstream = "http://127.0.0.1:3/")
            val checked = raw.check().get()
            checked?.role shouldBe InstanceRole.SIDECAR
            checked?.upstream?.url shouldBe "http://127.0.0.1:3"
        }

        test("secrets appear neither in faults nor in the settings' text") {
            settings(peerSecrets = "hidden").check().getError().toString() shouldNotContain "hidden"
            settings().check().get().toString() shouldNotContain SECRET
        }
    })
