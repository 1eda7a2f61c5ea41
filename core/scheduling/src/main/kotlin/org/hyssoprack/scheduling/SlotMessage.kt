package org.hyssoprack.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.TierRank

/**
 * Messages about slots between entry hosts and owners. Each may be lost, late or doubled; none of
 * that may lead to a second dispatch or to a slot that is lost for good.
 */
@Serializable
sealed interface SlotMessage : HostMessage {
    /** Entry to owner: registers a waiting request; repeated as long as it waits. */
    @Serializable
    @SerialName("sa")
    data class Ask(
        val server: BackendServerId,
        val requestId: RequestId,
        val tier: TierRank,
        val account: ClientAccount,
        val share: Int,
        val slackMs: Long,
        val long: Boolean,
        val resuming: LeaseId? = null
    ) : SlotMessage

    /** Entry to owner: asks for a block of slots for requests of a tier that are expected. */
    @Serializable
    @SerialName("sb")
    data class AskBlock(val server: BackendServerId, val tier: TierRank, val count: Int) :
        SlotMessage

    /** Entry to owner: the request no longer waits here. */
    @Serializable
    @SerialName("sw")
    data class Withdraw(val server: BackendServerId, val requestId: RequestId) : SlotMessage

    /**
     * Owner to entry: lends [count] slots for [termMs] milliseconds. [requestId] names the
     * registered request that the slot is meant for, and is null for a block.
     */
    @Serializable
    @SerialName("sg")
    data class Grant(
        val server: BackendServerId,
        val lease: LeaseId,
        val tier: TierRank,
        val count: Int,
        val termMs: Long,
        val requestId: RequestId? = null
    ) : SlotMessage

    /** Entry to owner: gives back [count] slots of a lease. */
    @Serializable
    @SerialName("sr")
    data class Return(val server: BackendServerId, val lease: LeaseId, val count: Int) : SlotMessage

    /** Entry to owner: keeps leases alive, and reports what was measured on their server. */
    @Serializable
    @SerialName("sn")
    data class Renew(
        val server: BackendServerId,
        val leases: List<HeldLease>,
        val sample: ServerSample? = null
    ) : SlotMessage

    /** Owner to entry: give back the unused slots of these leases now. */
    @Serializable
    @SerialName("sc")
    data class Recall(val server: BackendServerId, val leases: List<LeaseId>) : SlotMessage

    /** Owner to entry: make room by preempting one request that runs on this lease. */
    @Serializable
    @SerialName("sp")
    data class Preempt(val server: BackendServerId, val lease: LeaseId) : SlotMessage

    /** Entry to owner: may [requestId] be shed, or does a lower tier hold a slot there? */
    @Serializable
    @SerialName("sq")
    data class ShedCheck(
        val server: BackendServerId,
        val requestId: RequestId,
        val tier: TierRank,
        val long: Boolean
    ) : SlotMessage

    /** Owner to entry: answer to [ShedCheck]. */
    @Serializable
    @SerialName("sv")
    data class ShedVerdict(
        val server: BackendServerId,
        val requestId: RequestId,
        val lowerTierHoldsSlot: Boolean
    ) : SlotMessage

    /** Owner to interested entries: state of a backend server, for routing. */
    @Serializable
    @SerialName("sd")
    data class Digest(val server: BackendServerId, val state: ServerDigest) : SlotMessage
}
