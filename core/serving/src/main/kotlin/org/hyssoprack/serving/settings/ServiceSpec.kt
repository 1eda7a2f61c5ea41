package org.hyssoprack.serving.settings

import org.hyssoprack.common.ServiceId

/**
 * A service that backend servers run.
 *
 * @property maxConnections connections that one server accepts from all hosts together.
 * @property engine null for a plain service.
 */
data class ServiceSpec(
    val id: ServiceId,
    val healthPath: String,
    val maxConnections: Int,
    val engine: EngineSpec? = null
)
