package org.hyssoprack.link

import kotlinx.coroutines.channels.ReceiveChannel
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.NetworkAddress

/** Message transport between hosts. Messages may be lost, late or doubled, never altered. */
interface Link {
    /** Messages from peers, in the order of each connection. */
    val incoming: ReceiveChannel<ReceivedMessage>

    /** Queues [message] for [to] without waiting; dropped if the peer cannot be reached. */
    fun send(to: HostId, message: HostMessage)

    /** Queues [message] for a peer of which only the address is known. */
    fun sendTo(address: NetworkAddress, message: HostMessage)

    /** Sets the address under which [host] is reached from now on. */
    fun setAddress(host: HostId, address: NetworkAddress)

    /** Closes all connections and stops the link's tasks. */
    suspend fun close()
}
