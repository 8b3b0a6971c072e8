package io.mimosatrail.cli.run

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.store.client.HttpStore
import kotlinx.coroutines.runBlocking
import java.net.URI

/** Option for the URL of the platform's store. */
internal class StoreOptions : OptionGroup("Platform") {
    private val url by option("--store", envvar = "MIMOSATRAIL_STORE", help = "base URL of the platform's store")
        .convert { value -> httpUrl(value) ?: fail("'$value' is not an http:// or https:// URL with a host") }
        .required()

    /** Runs [block] with a client of the store, and closes the client afterwards. */
    fun <T> withStore(block: suspend (StoreCall) -> T): T =
        HttpStore(url).use { store -> runBlocking { block(store::invoke) } }
}

/** Returns [value] if it is an HTTP or HTTPS URL with a host, otherwise null. */
internal fun httpUrl(value: String): String? = try {
    value.takeIf { URI(it).let { uri -> uri.scheme in setOf("http", "https") && uri.host != null } }
} catch (e: java.net.URISyntaxException) {
    null
}
