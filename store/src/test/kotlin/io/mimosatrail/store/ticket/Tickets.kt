package io.mimosatrail.store.ticket

import io.mimosatrail.core.config.PlainService
import io.mimosatrail.core.config.Ticket
import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.TicketNumber
import io.mimosatrail.core.id.WorkspaceId

fun serviceTicket(number: Long, vararg services: String, slots: Int = 16) =
    Ticket(TicketNumber(number), services = services.map { PlainService(ServiceId(it), slots = slots) })

fun workspaceTicket(number: Long, count: Int) = Ticket(
    TicketNumber(number),
    workspaces = List(count) {
        Workspace(WorkspaceId("workspace-$it"), listOf(sha256Hex("key-$it".encodeToByteArray())))
    },
)
