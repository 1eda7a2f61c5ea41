package org.hyssoprack.membership

import kotlin.math.ceil
import kotlin.math.log10
import kotlin.math.max
import kotlin.math.roundToLong

/**
 * Timing and limits of the membership protocol; times in milliseconds.
 *
 * @property minProbeIntervalMs lower limit of the time between two probes, for few members.
 * @property maxProbeIntervalMs upper limit of the time between two probes, for many members.
 * @property probeIntervalPerMemberMs increase of the time between two probes per member.
 * @property pongTimeoutMs timeout for a pong, after which indirect probes are sent.
 * @property indirectTimeoutMs timeout for an indirect pong, after which the probe has failed.
 * @property indirectProbes number of members that an indirect probe is sent through.
 * @property suspicionRounds suspicion timeout as a number of probe intervals, multiplied by
 *   log10(members + 1).
 * @property gossipRounds number of transmissions of each update, multiplied by log10(members + 1).
 * @property maxGossipBytes limit of the gossiped updates in one message, in bytes.
 * @property antiEntropyIntervalMs time between anti-entropy exchanges with a random peer.
 * @property deadProbeIntervalMs time between probes of dead members, which may have become
 *   reachable again.
 * @property joinIntervalMs time between attempts to join through one of the seeds.
 * @property rejoinSpreadMs time over which the hosts register again after the directory was restored
 *   from an older copy, so that they do not exceed the store's rate of writes.
 * @property pauseThresholdMs time without a tick after which the process is assumed to have been
 *   paused.
 * @property leftRetentionMs time for which members that left stay in the list.
 * @property deadRetentionMs time for which other dead members stay in the list and are probed.
 */
data class MembershipSettings(
    val minProbeIntervalMs: Long = 200,
    val maxProbeIntervalMs: Long = 500,
    val probeIntervalPerMemberMs: Long = 4,
    val pongTimeoutMs: Long = 400,
    val indirectTimeoutMs: Long = 400,
    val indirectProbes: Int = 3,
    val suspicionRounds: Int = 4,
    val gossipRounds: Int = 4,
    val maxGossipBytes: Int = 1_200,
    val antiEntropyIntervalMs: Long = 10_000,
    val deadProbeIntervalMs: Long = 2_000,
    val joinIntervalMs: Long = 500,
    val rejoinSpreadMs: Long = 5_000,
    val pauseThresholdMs: Long = 1_000,
    val leftRetentionMs: Long = 60_000,
    val deadRetentionMs: Long = 7_200_000
) {
    /** Time between two probes that one host sends in a cluster of [members] hosts. */
    fun probeIntervalMs(members: Int): Long =
        (members * probeIntervalPerMemberMs).coerceIn(minProbeIntervalMs, maxProbeIntervalMs)

    /** Time after which an unrefuted suspicion marks the member DEAD. */
    fun suspicionMs(members: Int): Long =
        (suspicionRounds * probeIntervalMs(members) * logScale(members)).roundToLong()

    /** Number of times that each host transmits an update. */
    fun transmissions(members: Int): Int = ceil(gossipRounds * logScale(members)).toInt()

    private fun logScale(members: Int): Double = max(1.0, log10(members + 1.0))
}
