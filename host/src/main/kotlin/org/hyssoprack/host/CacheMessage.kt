package org.hyssoprack.host

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.backend.CacheEvent
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.HostMessage

/** Owner to interested entry hosts: changes of a backend server's prefix cache. */
@Serializable
@SerialName("ce")
data class CacheMessage(val server: BackendServerId, val events: List<CacheEvent>) : HostMessage
