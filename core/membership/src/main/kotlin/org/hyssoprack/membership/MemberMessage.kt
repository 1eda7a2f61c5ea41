package org.hyssoprack.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef

/** Messages of the membership protocol: probes between hosts and exchange of member digests. */
@Serializable
sealed interface MemberMessage : HostMessage {
    /** The sender's own status. */
    val status: MemberStatus

    /** Gossiped updates about members. */
    val digests: List<MemberDigest>

    /** Asks for a [Pong]. */
    @Serializable
    @SerialName("mp")
    data class Ping(
        @SerialName("n") val sequence: Long,
        @SerialName("s") override val status: MemberStatus,
        @SerialName("d") override val digests: List<MemberDigest> = emptyList()
    ) : MemberMessage

    /** Asks the receiver to probe [target] on the sender's behalf. */
    @Serializable
    @SerialName("mi")
    data class IndirectPing(
        @SerialName("n") val sequence: Long,
        @SerialName("t") val target: HostId,
        @SerialName("s") override val status: MemberStatus,
        @SerialName("d") override val digests: List<MemberDigest> = emptyList()
    ) : MemberMessage

    /** Answers a ping; [about] is the host run that answered the probe, null for the sender. */
    @Serializable
    @SerialName("mo")
    data class Pong(
        @SerialName("n") val sequence: Long,
        @SerialName("s") override val status: MemberStatus,
        @SerialName("a") val about: HostRef? = null,
        @SerialName("d") override val digests: List<MemberDigest> = emptyList()
    ) : MemberMessage

    /** Announces the sender as a member, and requests the full membership list in a [Sync]. */
    @Serializable
    @SerialName("mj")
    data class Join(
        @SerialName("s") override val status: MemberStatus,
        @SerialName("d") override val digests: List<MemberDigest>
    ) : MemberMessage

    /** Asks the receiver to compare its list with the hashes of the sender's buckets of members. */
    @Serializable
    @SerialName("mc")
    data class Compare(
        @SerialName("s") override val status: MemberStatus,
        @SerialName("h") val hashes: List<Int>,
        @SerialName("d") override val digests: List<MemberDigest> = emptyList()
    ) : MemberMessage

    /**
     * Carries the sender's members in the [buckets] that differ, out of [bucketCount], and requests
     * the members of which the receiver has newer digests.
     */
    @Serializable
    @SerialName("md")
    data class Differ(
        @SerialName("s") override val status: MemberStatus,
        @SerialName("c") val bucketCount: Int,
        @SerialName("b") val buckets: List<Int>,
        @SerialName("d") override val digests: List<MemberDigest>
    ) : MemberMessage

    /** Carries members that the receiver lacks, or of which it has older digests. */
    @Serializable
    @SerialName("my")
    data class Sync(
        @SerialName("s") override val status: MemberStatus,
        @SerialName("d") override val digests: List<MemberDigest>
    ) : MemberMessage
}
