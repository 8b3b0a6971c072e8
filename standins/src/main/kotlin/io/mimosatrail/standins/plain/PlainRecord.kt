package io.mimosatrail.standins.plain

import kotlinx.serialization.Serializable

/** A record of one `POST` call. [key] is its `Idempotency-Key` header, null if it had none. */
@Serializable
data class PlainRecord(val id: Long, val collection: String, val key: String?, val body: String)

/** All records in order of creation. */
@Serializable
data class RecordsBody(val records: List<PlainRecord>)

@Serializable
internal data class CreatedBody(val id: Long)

@Serializable
internal data class StatusBody(val name: String, val status: String)

@Serializable
internal data class LoadBody(val running: Int, val waiting: Int)
