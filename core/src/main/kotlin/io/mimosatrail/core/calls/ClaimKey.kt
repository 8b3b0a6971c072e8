package io.mimosatrail.core.calls

import io.mimosatrail.core.id.IdempotencyKey
import io.mimosatrail.core.id.SlotId
import io.mimosatrail.core.id.WorkspaceId
import kotlinx.serialization.Serializable
import java.util.zip.CRC32

/** An idempotency key, qualified by its workspace. Each service has journals of its own, so it is not included. */
@Serializable
data class ClaimKey(val workspace: WorkspaceId, val key: IdempotencyKey) {
    /** The hash slot of this key out of [slots] slots; the same in every process. */
    fun slotOf(slots: Int): SlotId {
        val crc = CRC32()
        crc.update("${workspace.value.length}:${workspace.value}${key.value}".toByteArray())
        return SlotId((crc.value % slots).toInt())
    }
}
