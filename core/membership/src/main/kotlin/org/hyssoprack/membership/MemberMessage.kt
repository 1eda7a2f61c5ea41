package org.hyssoprack.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef

/** Messages by which hosts probe each other. Each carries a few members' digests along. */
@Serializable
sealed interface MemberMessage : HostMessage {
    val digests: List<Member>

    /** Asks for a [Pong]. */
    @Serializable
    @SerialName("mp")
    data class Ping(val sequence: Long, override val digests: List<Member>) : MemberMessage

    /** Asks the receiver to probe [target] on the sender's behalf. */
    @Serializable
    @SerialName("mi")
    data class IndirectPing(
        val sequence: Long,
        val target: HostId,
        override val digests: List<Member>
    ) : MemberMessage

    /** Answers a ping; [about] is the host incarnation that proved to be alive. */
    @Serializable
    @SerialName("mo")
    data class Pong(val sequence: Long, val about: HostRef, override val digests: List<Member>) :
        MemberMessage

    /** Asks for or brings the whole list of members, when a host joins or after a partition. */
    @Serializable
    @SerialName("mj")
    data class Sync(val reply: Boolean, override val digests: List<Member>) : MemberMessage
}
