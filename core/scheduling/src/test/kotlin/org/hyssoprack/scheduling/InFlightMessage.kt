package org.hyssoprack.scheduling

import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef

/** A message in transit in a [SchedulerSimulation]; it arrives at [dueMs]. */
internal class InFlightMessage(
    val from: HostRef,
    val to: HostId,
    val message: SlotMessage,
    val dueMs: Long
)
