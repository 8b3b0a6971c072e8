package io.mimosatrail.bench.scenario

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Body of a report. It contains the report's [key] so that each record can be matched with its report. */
@Serializable
internal data class ReportBody(@SerialName("report") val key: String, val text: String)

/** An application's answer to a report; [id] is the id of the record. */
@Serializable
internal data class RecordedBody(val id: Long)

/** The fields of a problem document that describe the outcome of the request. */
@Serializable
internal data class ProblemBody(val outcome: ObservedOutcome, val detail: String = "")

/** JSON that ignores unknown fields. */
internal val lenientJson = Json { ignoreUnknownKeys = true }
