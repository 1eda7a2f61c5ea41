package org.hyssoprack.serving.fleet

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ServiceId

/**
 * What a backend server says of itself in the store.
 *
 * @property bornMs time of its start in milliseconds since the epoch; tells two runs apart that
 *   share an id. Null if the server does not say.
 * @property slots requests that it works on at once.
 */
data class RegisteredServer(
    val id: BackendServerId,
    val service: ServiceId,
    val address: NetworkAddress,
    val domain: FailureDomain,
    val slots: Int,
    val isLeaving: Boolean = false,
    val bornMs: Long? = null
) {
    /** The run of the server that wrote the entry. */
    val run: ServerInstance get() = ServerInstance(id = id, address = address, bornMs = bornMs)

    /** Whether [other] is the same run of the same server. */
    fun isSameInstance(other: RegisteredServer): Boolean = run == other.run
}
