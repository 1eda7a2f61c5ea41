package org.hyssoprack.store

import kotlinx.serialization.Serializable

/** State of a backend server in the host list. */
@Serializable
enum class BackendServerState { LIVE, LEAVING }
