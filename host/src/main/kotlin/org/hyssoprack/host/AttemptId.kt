package org.hyssoprack.host

import org.hyssoprack.common.RequestId

/** Identifies one attempt at a request on one host incarnation. */
data class AttemptId(val id: RequestId, val number: Long)
