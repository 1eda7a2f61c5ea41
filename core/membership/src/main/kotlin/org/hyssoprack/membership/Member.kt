package org.hyssoprack.membership

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.Region

/**
 * State of one host incarnation in the member view of a host.
 *
 * @property linkAddress address that peers connect to.
 * @property callerAddress address that callers connect to.
 * @property refutation counter that the member increments to override a suspicion of itself.
 * @property capacity capacity of the host in hundredths of a processor core; 0 if not reported.
 * @property load share of its request capacity in use, in percent.
 * @property bundle bundle version in force according to the last message from the host.
 */
@Serializable
data class Member(
    val ref: HostRef,
    val linkAddress: NetworkAddress,
    val callerAddress: NetworkAddress,
    val domain: FailureDomain,
    val region: Region,
    val state: MemberState = MemberState.ALIVE,
    val refutation: Int = 0,
    val load: Int = 0,
    val bundle: BundleVersion = BundleVersion.NONE,
    val capacity: Int = 0
)
