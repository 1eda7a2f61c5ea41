package org.hyssoprack.membership

import kotlin.math.ceil
import kotlin.math.log10
import kotlin.math.max
import kotlin.math.roundToLong

/**
 * Timing and bounds of probing; times in milliseconds.
 *
 * @property minProbeIntervalMs time between probes of a host with few members.
 * @property maxProbeIntervalMs time between probes of a host with many members.
 * @property probeIntervalPerMemberMs growth of the time between probes with each member.
 * @property pongTimeoutMs wait for a pong before other members are asked to probe.
 * @property indirectTimeoutMs further wait before the probe counts as failed.
 * @property indirectProbes number of members that are asked to probe.
 * @property suspicionRounds suspicion lasts this many probe intervals times log10(members + 1).
 * @property gossipRounds news is passed on this many times log10(members + 1).
 * @property maxGossipBytes bound of the news in one probe message, in bytes.
 * @property antiEntropyIntervalMs time between comparisons of the list with a random peer.
 * @property deadProbeIntervalMs time between probes of dead members, which may be back.
 * @property joinIntervalMs time between attempts to join through one of the seeds.
 * @property pauseThresholdMs time without a tick after which this host counts as having been paused.
 * @property leftRetentionMs time for which members that left are remembered.
 * @property deadRetentionMs time for which other dead members are remembered and probed.
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
    val pauseThresholdMs: Long = 1_000,
    val leftRetentionMs: Long = 60_000,
    val deadRetentionMs: Long = 7_200_000
) {
    /** Time between two probes by one host among [members] hosts. */
    fun probeIntervalMs(members: Int): Long =
        (members * probeIntervalPerMemberMs).coerceIn(minProbeIntervalMs, maxProbeIntervalMs)

    /** Time from suspicion to death unless the member refutes it. */
    fun suspicionMs(members: Int): Long =
        (suspicionRounds * probeIntervalMs(members) * spread(members)).roundToLong()

    /** How often each host passes a piece of news on. */
    fun transmissions(members: Int): Int = ceil(gossipRounds * spread(members)).toInt()

    private fun spread(members: Int): Double = max(1.0, log10(members + 1.0))
}
