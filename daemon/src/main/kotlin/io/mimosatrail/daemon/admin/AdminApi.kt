package io.mimosatrail.daemon.admin

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.mimosatrail.daemon.http.httpJson
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes

private const val PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

/** The operators' HTTP interface of a daemon: health, readiness, metrics and status. */
internal fun adminApi(isReady: () -> Boolean, status: () -> StatusPage, meters: PrometheusMeterRegistry): HttpHandler =
    routes(
        "/health" bind Method.GET to { Response(Status.OK).body("ok\n") },
        "/ready" bind Method.GET to {
            if (isReady()) {
                Response(
                    Status.OK,
                ).body("ready\n")
            } else {
                Response(Status.SERVICE_UNAVAILABLE).body("not ready\n")
            }
        },
        "/metrics" bind Method.GET to {
            Response(Status.OK).header("Content-Type", PROMETHEUS_CONTENT_TYPE).body(meters.scrape())
        },
        "/status" bind Method.GET to {
            Response(Status.OK).header("Content-Type", "application/json")
                .body(httpJson.encodeToString(StatusPage.serializer(), status()))
        },
    )
