package io.mimosatrail.bench.scenario

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Body of a report; [report] names it, so that records can be matched with reports from outside. */
@Serializable
internal data class ReportBody(val report: String, val text: String)

/** An application's answer to a report. */
@Serializable
internal data class RecordedBody(val id: Long)

/** The part of a problem document that tells what happened. */
@Serializable
internal data class ProblemBody(val outcome: ToldOutcome, val detail: String = "")

internal val storyJson = Json { ignoreUnknownKeys = true }
