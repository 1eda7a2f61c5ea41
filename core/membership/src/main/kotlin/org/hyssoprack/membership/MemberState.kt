package org.hyssoprack.membership

import kotlinx.serialization.Serializable

/** State of a host in the membership list of a peer. */
@Serializable
enum class MemberState { ALIVE, SUSPECT, LEAVING, DEAD }
