package org.hyssoprack.host

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.RequestId

/** Messages between hosts about a caller's retry of a request through another host. */
@Serializable
sealed interface RetryMessage : HostMessage {
    /** Asks the host that took [requestId] in first to give it up. */
    @Serializable
    @SerialName("rg")
    data class GiveUp(val requestId: RequestId, val sequence: Long) : RetryMessage

    /** Answers [GiveUp]. */
    @Serializable
    @SerialName("ra")
    data class GiveUpAnswer(val sequence: Long, val result: GiveUpResult) : RetryMessage
}
