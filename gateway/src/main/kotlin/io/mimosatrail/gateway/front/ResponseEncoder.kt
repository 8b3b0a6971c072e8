package io.mimosatrail.gateway.front

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

/** Encodes responses. */
internal class ResponseEncoder : HttpResponseEncoder() {
    /** True if the next response is one to HEAD, which has no body. */
    var isToHead = false

    override fun isContentAlwaysEmpty(response: HttpResponse): Boolean =
        isToHead || super.isContentAlwaysEmpty(response)
}
