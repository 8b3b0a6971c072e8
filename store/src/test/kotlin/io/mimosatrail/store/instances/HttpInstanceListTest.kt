package io.mimosatrail.store.instances

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.sun.net.httpserver.HttpServer
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldNotBeNull
import java.net.InetSocketAddress

private const val OK = 200
private const val NOT_MODIFIED = 304

private class ListServer : AutoCloseable {
    var body = ""
    var tag = ""
    val statuses = mutableListOf<Int>()
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)

    val url get() = "http://127.0.0.1:${server.address.port}"

    init {
        server.createContext("/v1/instances") { exchange ->
            val unchanged = exchange.requestHeaders.getFirst("If-None-Match") == tag
            statuses += if (unchanged) NOT_MODIFIED else OK
            exchange.responseHeaders.add("ETag", tag)
            exchange.sendResponseHeaders(statuses.last(), if (unchanged) -1 else body.length.toLong())
            if (!unchanged) exchange.responseBody.write(body.toByteArray())
            exchange.close()
        }
        server.start()
    }

    override fun close() = server.stop(0)
}

private fun rows(vararg ids: String): String {
    val rows = ids.joinToString(",") {
        """{"id":"$it","role":"entry","place":"umea","address":{"host":"127.0.0.1","port":1},"state":"leaving","x":1}"""
    }
    return """{"instances":[$rows]}"""
}

class HttpInstanceListTest :
    FunSpec({
        test("a list is transferred again only if it has changed") {
            ListServer().use { server ->
                val list = HttpInstanceList(server.url)
                server.body = rows("a")
                server.tag = "\"1\""
                val seen = mutableListOf<String>()
                repeat(2) { seen += list.fetch().get().orEmpty().joinToString { it.id.value } }
                server.body = rows("a", "b")
                server.tag = "\"2\""
                seen += list.fetch().get().orEmpty().joinToString { it.id.value }
                seen shouldContainExactly listOf("a", "a", "a, b")
                server.statuses shouldContainExactly listOf(OK, NOT_MODIFIED, OK)
                list.close()
            }
        }

        test("an unreadable list is an error, and the next valid list is read") {
            ListServer().use { server ->
                val list = HttpInstanceList(server.url)
                server.body = "{"
                server.tag = "\"1\""
                list.fetch().getError().shouldNotBeNull()
                server.body = rows("a")
                list.fetch().get().shouldNotBeNull()
                list.close()
            }
        }
    })
