package org.hyssoprack.membership

import kotlinx.serialization.Serializable

/**
 * State of a host in the membership list of a peer. A SUSPECT host has failed a probe and becomes
 * DEAD unless it refutes the suspicion in time.
 */
@Serializable
enum class MemberState { ALIVE, SUSPECT, LEAVING, DEAD }
