package org.hyssoprack.host

import kotlinx.serialization.Serializable

/** One entry host that callers may use; [incarnation] goes into the request ids that name it. */
@Serializable
data class CallerAddress(val host: String, val incarnation: String, val address: String)
