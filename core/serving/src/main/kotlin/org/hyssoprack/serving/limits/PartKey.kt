package org.hyssoprack.serving.limits

import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.ServiceId

/** A part of prompts on the servers of one service with one version of the software. */
internal data class PartKey(val service: ServiceId, val version: String?, val part: PromptPartId) {
    /** Returns whether [other] is of the same servers. */
    fun isBesides(other: PartKey): Boolean = service == other.service && version == other.version
}
