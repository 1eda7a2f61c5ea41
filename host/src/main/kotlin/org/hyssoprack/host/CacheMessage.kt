package org.hyssoprack.host

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.backend.CacheEvent
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.HostMessage

/** Changes of a backend server's prefix cache, sent by its owner to the entry hosts that use it. */
@Serializable
@SerialName("ce")
data class CacheMessage(val server: BackendServerId, val events: List<CacheEvent>) : HostMessage
