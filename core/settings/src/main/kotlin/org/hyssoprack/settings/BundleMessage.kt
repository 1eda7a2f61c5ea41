package org.hyssoprack.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.HostMessage

/** Messages between hosts that carry bundles. */
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
}
