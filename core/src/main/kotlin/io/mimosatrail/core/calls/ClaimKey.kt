package io.mimosatrail.core.calls

import io.mimosatrail.core.id.IdempotencyKey
import io.mimosatrail.core.id.SlotId
import io.mimosatrail.core.id.WorkspaceId
import kotlinx.serialization.Serializable
import java.util.zip.CRC32

/** An idempotency key within its workspace; the service is that of the journal. */
@Serializable
data class ClaimKey(val workspace: WorkspaceId, val key: IdempotencyKey) {
    /** The slot of this key among [slots] slots; the same on every process. */
    fun slotOf(slots: Int): SlotId {
        val crc = CRC32()
        crc.update("${workspace.value.length}:${workspace.value}${key.value}".toByteArray())
        return SlotId((crc.value % slots).toInt())
    }
}
