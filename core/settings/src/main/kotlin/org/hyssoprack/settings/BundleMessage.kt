package org.hyssoprack.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.HostMessage

/** Messages between hosts that carry bundle bodies and the state of the rollout. */
@Serializable
sealed interface BundleMessage : HostMessage {
    /** Requests the body of a bundle from a peer. */
    @Serializable
    @SerialName("bf")
    data class Fetch(val version: BundleVersion) : BundleMessage

    /** The body of a bundle, as stored in the object store. */
    @Serializable
    @SerialName("bb")
    data class Body(val version: BundleVersion, val hash: ContentHash, val json: String) :
        BundleMessage

    /** Requests the [State] of a peer; [sequence] is above 0 and is returned in the answer. */
    @Serializable
    @SerialName("ba")
    data class Ask(val sequence: Long) : BundleMessage

    /**
     * Version that the sender has in force, and how recently it was confirmed.
     *
     * @property sequence sequence number of the [Ask] that is answered; 0 if sent unsolicited.
     * @property hash hash of the body; null if no bundle is in force.
     * @property confirmedAgoMs milliseconds between the start of the last read of the table service
     *   that returned no version above [version] and sending; null if there was no such read.
     * @property settled whether the sender has recently reached the table service or at least half
     *   of the peers it asked, so that its answer counts as evidence that there is no newer
     *   version.
     */
    @Serializable
    @SerialName("bs")
    data class State(
        val sequence: Long,
        val version: BundleVersion,
        val hash: ContentHash? = null,
        val confirmedAgoMs: Long? = null,
        val settled: Boolean = false
    ) : BundleMessage
}
