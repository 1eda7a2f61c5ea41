package org.hyssoprack.daemon

import kotlinx.serialization.Serializable

/** One entry host that callers may use; [incarnation] goes into the request ids that name it. */
@Serializable
internal data class CallerHostBody(val host: String, val incarnation: String, val address: String)
