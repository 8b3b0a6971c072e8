package io.mimosatrail.standins.plain

import kotlinx.serialization.Serializable

/** A record made by a `POST`; [key] is the `Idempotency-Key` header of its call. */
@Serializable
data class PlainRecord(val id: Long, val collection: String, val key: String?, val body: String)

/** Every record made, in order. */
@Serializable
data class RecordsBody(val records: List<PlainRecord>)

@Serializable
internal data class CreatedBody(val id: Long)

@Serializable
internal data class StatusBody(val name: String, val status: String)

@Serializable
internal data class LoadBody(val running: Int, val waiting: Int)
