package org.hyssoprack.host

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.RequestId

/** Messages between hosts about a caller's retry of a request through another host. */
@Serializable
sealed interface RetryMessage : HostMessage {
    /** Asks the host that first received [requestId] to give it up. */
    @Serializable
    @SerialName("rg")
    data class GiveUp(val requestId: RequestId, val sequence: Long) : RetryMessage

    /** Reply to [GiveUp]. */
    @Serializable
    @SerialName("ra")
    data class GiveUpAnswer(val sequence: Long, val result: GiveUpResult) : RetryMessage
}
