package org.hyssoprack.serving.fleet

import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.eq

/**
 * Registry of the request rates that backend servers accept from all hosts together, as named in
 * their responses. A limit holds until a request that was sent after it was last named gets a
 * response without one.
 */
class ServerLimitRegistry(private val clock: Clock, private val log: EventLog) {
    private val limits = HashMap<ServerInstance, NamedLimit>()

    private class NamedLimit(var perS: Double, var namedMs: Long)

    /** Number of servers with a limit. */
    val size: Int get() = limits.size

    /** Returns the limit of [instance] in requests per second, or null if it has none. */
    fun perS(instance: ServerInstance): Double? = limits[instance]?.perS

    /** Records that [instance] named the limit [perS] in a response to this host. */
    fun recordNamed(instance: ServerInstance, perS: Double) {
        val before = limits[instance]
        if (before == null) {
            limits[instance] = NamedLimit(perS, clock.nowMs())
        } else {
            before.namedMs = clock.nowMs()
        }
        if (before?.perS == perS) return
        logChange(if (before == null) "learnt" else "changed", instance, perS, before?.perS)
        before?.perS = perS
    }

    /**
     * Records that [instance] named no limit in a response to a request that was sent at [sentMs].
     */
    fun recordUnlimited(instance: ServerInstance, sentMs: Long) {
        val before = limits[instance] ?: return
        if (sentMs <= before.namedMs) return
        limits.remove(instance)
        logChange("ended", instance, null, before.perS)
    }

    private fun logChange(
        change: String,
        instance: ServerInstance,
        perS: Double?,
        before: Double?
    ) = log.event(
        "server-limit",
        "change" eq change,
        "server" eq instance.id,
        "bornMs" eq instance.bornMs,
        "perS" eq perS,
        "before" eq before
    )
}
