package org.hyssoprack.scheduling

/**
 * Times and sizes of slot lending, the same on all hosts.
 *
 * @property leaseTermMs time for which a grant or a renewal of a lease is valid.
 * @property renewIntervalMs time between two renewals of a lease.
 * @property digestIntervalMs longest time between two requests for the digest of a server in use.
 * @property registrationRepeatMs time after which the registration of waiting requests is repeated.
 * @property registrationTermMs time for which an owner keeps a registration that is not repeated.
 * @property verdictTermMs time for which an owner's answer to a shed check is valid.
 * @property messageRepeatMs time between two recalls or preemptions of one lease.
 * @property preemptAttempts number of unanswered preemption messages after which the owner stops
 *   preempting slots of a lease.
 * @property initialServerCount number of backend servers that a new request is registered for.
 * @property wideningDelayMs time after which a waiting request is registered for twice as many
 *   servers.
 * @property rerankIntervalMs time after which the servers are ranked anew for a request that is
 *   registered for all candidates.
 * @property candidateLimit maximum number of servers that are compared for one request.
 * @property blockLimit maximum number of slots in one block.
 * @property blockIdleMs time after which unused slots of a lease are given back.
 * @property shedLeadMs time before the latest useful dispatch at which shed checks begin.
 * @property inDoubtLeaseMs time for which a lapsed lease stays in doubt, as a request may still run
 *   on it, and for which the ids of ended leases are kept.
 * @property longCompletionTokens expected length of the answer from which a request counts as long.
 * @property tombstoneMs time for which the ids of dispatched requests are kept after their end.
 */
data class SchedulingSettings(
    val leaseTermMs: Long = 2_000,
    val renewIntervalMs: Long = 500,
    val digestIntervalMs: Long = 1_000,
    val registrationRepeatMs: Long = 500,
    val registrationTermMs: Long = 1_500,
    val verdictTermMs: Long = 600,
    val messageRepeatMs: Long = 250,
    val preemptAttempts: Int = 8,
    val initialServerCount: Int = 2,
    val wideningDelayMs: Long = 100,
    val rerankIntervalMs: Long = 1_000,
    val candidateLimit: Int = 32,
    val blockLimit: Int = 8,
    val blockIdleMs: Long = 1_000,
    val shedLeadMs: Long = 300,
    val inDoubtLeaseMs: Long = 30_000,
    val longCompletionTokens: Int = 400,
    val tombstoneMs: Long = 300_000
)
