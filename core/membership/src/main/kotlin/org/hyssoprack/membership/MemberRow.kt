package org.hyssoprack.membership

import kotlinx.serialization.Serializable
import org.hyssoprack.common.HostRef

/** Value of the table row that registers a host run. */
@Serializable
internal data class MemberRow(val ref: HostRef, val profile: MemberProfile) {
    fun toMember(): Member = Member(
        ref = ref,
        linkAddress = profile.linkAddress,
        callerAddress = profile.callerAddress,
        domain = profile.domain,
        region = profile.region
    )

    companion object {
        fun of(member: Member): MemberRow = MemberRow(
            ref = member.ref,
            profile = MemberProfile(
                linkAddress = member.linkAddress,
                callerAddress = member.callerAddress,
                domain = member.domain,
                region = member.region
            )
        )
    }
}
