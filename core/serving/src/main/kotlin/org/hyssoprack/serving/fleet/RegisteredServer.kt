package org.hyssoprack.serving.fleet

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ServiceId

/**
 * A backend server as registered in the store.
 *
 * @property bornMs start time in milliseconds since the epoch, which distinguishes instances that
 *   share an id; null if the server does not report it.
 * @property slots maximum number of concurrent requests.
 * @property version version of the server's software; null if unknown.
 */
data class RegisteredServer(
    val id: BackendServerId,
    val service: ServiceId,
    val address: NetworkAddress,
    val domain: FailureDomain,
    val slots: Int,
    val isLeaving: Boolean = false,
    val bornMs: Long? = null,
    val version: String? = null
) {
    /** The server instance that wrote the entry. */
    val instance: ServerInstance = ServerInstance(id = id, address = address, bornMs = bornMs)

    /** Returns whether [other] describes the same server instance. */
    fun isSameInstance(other: RegisteredServer): Boolean = instance == other.instance
}
