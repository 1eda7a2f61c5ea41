package org.hyssoprack.daemon

import kotlinx.serialization.Serializable

/**
 * One entry host that callers may use; [incarnation] is part of the request ids that name the host.
 */
@Serializable
internal data class CallerHostBody(val host: String, val incarnation: String, val address: String)
