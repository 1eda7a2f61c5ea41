package org.hyssoprack.membership

import kotlinx.serialization.Serializable

/** State of a host in the eyes of its peers. */
@Serializable
enum class MemberState { ALIVE, SUSPECT, LEAVING, DEAD }
