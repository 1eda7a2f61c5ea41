package org.hyssoprack.scheduling

/**
 * Times and sizes of slot lending, the same on all hosts.
 *
 * @property leaseTermMs time for which slots are lent or renewed.
 * @property renewIntervalMs time between two renewals.
 * @property digestIntervalMs longest time between two digests of a server that is in use.
 * @property askRepeatMs time between two asks of a waiting request at one owner.
 * @property registrationTermMs time for which an owner remembers an ask or a shed check.
 * @property verdictTermMs time for which an owner's answer to a shed check holds.
 * @property messageRepeatMs time between two recalls or preemptions of one lease.
 * @property preemptTries number of preemption messages after which a lease is left alone.
 * @property firstOwners number of backend servers that a new request asks for at once.
 * @property wideningDelayMs time after which a waiting request asks for twice as many servers.
 * @property rankTermMs time after which a request that waits everywhere is estimated anew.
 * @property candidateLimit most servers that are compared for one request.
 * @property blockLimit most slots in one block.
 * @property blockIdleMs time after which an unused slot of a block is given back.
 * @property shedLeadMs time before the latest useful dispatch at which shed checks start.
 * @property unansweredLeaseMs time for which an owner doubts that a lapsed lease is out of use.
 * @property longCompletionTokens length of an answer from which on a request counts as long.
 * @property tombstoneMs time for which dispatched requests are remembered after their end.
 */
data class SchedulingSettings(
    val leaseTermMs: Long = 2_000,
    val renewIntervalMs: Long = 500,
    val digestIntervalMs: Long = 1_000,
    val askRepeatMs: Long = 500,
    val registrationTermMs: Long = 1_500,
    val verdictTermMs: Long = 600,
    val messageRepeatMs: Long = 250,
    val preemptTries: Int = 8,
    val firstOwners: Int = 2,
    val wideningDelayMs: Long = 100,
    val rankTermMs: Long = 1_000,
    val candidateLimit: Int = 32,
    val blockLimit: Int = 8,
    val blockIdleMs: Long = 1_000,
    val shedLeadMs: Long = 300,
    val unansweredLeaseMs: Long = 30_000,
    val longCompletionTokens: Int = 400,
    val tombstoneMs: Long = 300_000
)
