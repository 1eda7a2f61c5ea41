package org.hyssoprack.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation

/**
 * State update about one member that hosts gossip. Of two digests of a host the one that compares
 * as greater wins, so that all hosts converge on the same view in whatever order digests arrive.
 *
 * @property refutation counter that the member increments to override a suspicion of itself.
 * @property profile addresses and location of the member; null if receivers should have it already.
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
    /** The host run that the digest describes. */
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
