package org.hyssoprack.membership

import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress

/** Commands to the task of a [SwimMembership]. */
internal sealed interface MemberCommand {
    data class Receive(val from: HostRef, val message: MemberMessage) : MemberCommand

    data class Announce(val load: Int, val bundle: BundleVersion) : MemberCommand

    data object Leave : MemberCommand

    data class AddSeeds(val addresses: List<NetworkAddress>) : MemberCommand
}
