package org.hyssoprack.link

import kotlinx.coroutines.channels.ReceiveChannel
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.NetworkAddress

/** Message transport between hosts. Messages may be lost, delayed or duplicated, never altered. */
interface Link {
    /** Messages from peers; ordered within each connection. */
    val incoming: ReceiveChannel<ReceivedMessage>

    /** Queues [message] for [to] without suspending; drops it if the peer is unreachable. */
    fun send(to: HostId, message: HostMessage)

    /** Queues [message] for the peer at [address], whose host id may be unknown. */
    fun sendTo(address: NetworkAddress, message: HostMessage)

    /** Sets the address to use for later connections to [host]. */
    fun setAddress(host: HostId, address: NetworkAddress)

    /** Closes all connections and stops the link's tasks. */
    suspend fun close()
}
