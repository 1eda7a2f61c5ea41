package org.hyssoprack.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation

/**
 * News about one member, as hosts pass it on. Of two digests of a host the one that compares as
 * greater holds, so that all hosts come to the same view in whatever order news arrives.
 *
 * @property refutation counter by which the member overrules suspicions of itself.
 * @property profile where the member is reached; left out when the receivers should know it.
 */
@Serializable
data class MemberDigest(
    @SerialName("h") val host: HostId,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("s")
    @Serializable(with = MemberStateCode::class)
    val state: MemberState = MemberState.ALIVE,
    @SerialName("r") val refutation: Int = 0,
    @SerialName("p") val profile: MemberProfile? = null
) : Comparable<MemberDigest> {
    /** The run that the digest is about. */
    val ref: HostRef get() = HostRef(host = host, incarnation = incarnation)

    override fun compareTo(other: MemberDigest): Int = ORDER.compare(this, other)

    private companion object {
        val ORDER = compareBy<MemberDigest>({ it.incarnation }, { it.refutation }, { it.rank() })

        fun MemberDigest.rank(): Int = when (state) {
            MemberState.ALIVE -> 0
            MemberState.SUSPECT -> 1
            MemberState.LEAVING -> 2
            MemberState.DEAD -> 3
        }
    }
}
