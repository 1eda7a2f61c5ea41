package org.hyssoprack.store

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.Generation
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ServiceId

/**
 * One entry of the host list.
 *
 * @property model the model that an engine serves; null for a plain service.
 * @property service the service that a plain server runs; null for an engine.
 * @property slots number of concurrent requests that the server supports, as reported by itself.
 * @property canSuspend whether the engine can suspend a stream and resume it.
 * @property checksFencing whether the server rejects orders with an outdated fencing number.
 */
@Serializable
data class BackendServer(
    val id: BackendServerId,
    val kind: BackendServerKind,
    val address: NetworkAddress,
    val domain: FailureDomain,
    val state: BackendServerState = BackendServerState.LIVE,
    val generation: Generation = Generation("default"),
    val model: ModelId? = null,
    val service: ServiceId? = null,
    val slots: Int = 8,
    val canSuspend: Boolean = false,
    val checksFencing: Boolean = false
)
