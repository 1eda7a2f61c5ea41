package org.hyssoprack.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.HostMessage

/** Messages between hosts that carry bundles and what is known of the accepted version. */
@Serializable
sealed interface BundleMessage : HostMessage {
    /** Asks a peer for the body of a bundle. */
    @Serializable
    @SerialName("bf")
    data class Fetch(val version: BundleVersion) : BundleMessage

    /** The body of a bundle, as stored in the object store. */
    @Serializable
    @SerialName("bb")
    data class Body(val version: BundleVersion, val hash: ContentHash, val json: String) :
        BundleMessage

    /** Asks a peer for its [State]; [sequence] is above 0 and comes back in the answer. */
    @Serializable
    @SerialName("ba")
    data class Ask(val sequence: Long) : BundleMessage

    /**
     * What the sender has in force.
     *
     * @property sequence number of the [Ask] that is answered; 0 if nobody asked.
     * @property hash null if [version] is none.
     * @property confirmedAgoMs how long before sending, in milliseconds, a read of the table
     *   service began that gave no version above [version]; null if there was none.
     * @property settled whether the sender has been in touch with the table service or with most of
     *   its peers lately, so that it counts as a witness against newer versions.
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
