package org.hyssoprack.membership

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.Region

/**
 * One host incarnation as its peers see it.
 *
 * @property linkAddress where peers reach it.
 * @property callerAddress where callers reach it.
 * @property refutation counter by which a member overrules suspicions of itself.
 * @property capacity what it can carry, in hundredths of a processor core; 0 if it does not say.
 * @property load share of its request capacity in use, in percent.
 * @property bundle version that it had in force when it last spoke.
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
