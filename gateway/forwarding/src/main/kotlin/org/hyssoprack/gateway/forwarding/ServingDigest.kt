package org.hyssoprack.gateway.forwarding

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.modules.SerializersModule
import kotlinx.serialization.modules.polymorphic
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostMessage
import org.hyssoprack.serving.fleet.ServerRun
import org.hyssoprack.serving.placement.PeerLoad

/**
 * What hosts tell each other a few times a second.
 *
 * @property quotas what the sender has admitted of each account's quota since its start.
 * @property loads what the sender has in progress at backend servers.
 * @property leaving runs of backend servers that have said that they leave.
 */
@Serializable
@SerialName("serving")
data class ServingDigest(
    val quotas: Map<ClientAccount, Double>,
    val loads: Map<BackendServerId, PeerLoad>,
    val leaving: Set<ServerRun> = emptySet()
) : HostMessage

/** Registers [ServingDigest] for the link between hosts. */
val servingMessages: SerializersModule = SerializersModule {
    polymorphic(HostMessage::class, ServingDigest::class, ServingDigest.serializer())
}
