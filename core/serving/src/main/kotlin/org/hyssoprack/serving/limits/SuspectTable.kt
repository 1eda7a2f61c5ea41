package org.hyssoprack.serving.limits

import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.ServerInstance

/** The suspected and the blocked parts, and which crashes the blocked ones explain. */
internal class SuspectTable(private val incidents: CrashIncidents, private val log: PartLog) {
    private val suspects = HashMap<PartKey, Suspect>()
    private var forgottenMs = Long.MIN_VALUE

    /** The blocked parts. */
    var blocked: List<Suspect> = emptyList()
        private set

    val all: Collection<Suspect> get() = suspects.values
    val size: Int get() = suspects.size

    operator fun get(key: PartKey): Suspect? = suspects[key]

    fun getOrAdd(key: PartKey): Suspect {
        suspects[key]?.let { return it }
        if (suspects.size >= MAX_SUSPECTS) forgetLeast()
        return Suspect(key).also { suspects[key] = it }
    }

    fun remove(suspect: Suspect) {
        suspects.remove(suspect.key)
        if (suspect.isBlocked) refreshBlocked()
    }

    /** Returns the blocked parts among [parts], for any version of the servers of [service]. */
    fun blockedAmong(service: ServiceId, parts: List<PromptPartId>): List<Suspect> =
        blocked.filter { it.key.service == service && it.key.part in parts }

    /**
     * Returns in how many of the crashes that speak against [suspect] one and the same request was
     * involved, for the request with most of them.
     *
     * @param reporting server for which the report of that request may be missing; it is taken to
     *   be involved in that crash.
     */
    fun crashesOfOneRequest(suspect: Suspect, reporting: ServerInstance? = null): Int {
        val servers = suspect.evidenceServers
        return suspects.values
            .filter { it.key.part.isOwnPart && it.key.isBesides(suspect.key) }
            .maxOfOrNull { request -> servers.count { it in request.crashes || it == reporting } }
            ?: 0
    }

    /** Blocks [suspect] from [blockedMs] on, which then explains the crashes with it. */
    fun block(suspect: Suspect, blockedMs: Long, nowMs: Long) {
        val isNew = !suspect.isBlocked
        suspect.block(blockedMs, nowMs)
        if (!isNew) return
        release(suspect)
        refreshBlocked()
        explainAll(suspect)
        log.change("blocked", suspect, nowMs)
        outdoneBy(suspect).forEach { unblock(it, nowMs) }
    }

    /** Returns the blocked requests whose crashes [cause] explains all, with others besides. */
    private fun outdoneBy(cause: Suspect): List<Suspect> = blocked.filter {
        it !== cause &&
            it.key.part.isOwnPart &&
            it.key.isBesides(cause.key) &&
            it.crashes.size < cause.crashes.size &&
            cause.crashes.keys.containsAll(it.crashes.keys)
    }

    /** Ends the block of [suspect]. */
    fun unblock(suspect: Suspect, nowMs: Long) {
        if (!suspect.isBlocked) return
        log.change("cleared", suspect, nowMs)
        suspect.unblock()
        suspect.isLogged = false
        incidents.withPart(suspect.key).filter { it.blocked == suspect.key }
            .forEach { it.blocked = null }
        release(suspect)
        refreshBlocked()
    }

    /**
     * Records that the blocked [cause] explains [incident], so that no other part is to blame. A
     * request explains nothing for good, as one that is sent again after each crash is at several
     * crashed servers whatever their cause is.
     */
    fun explain(incident: CrashIncident, cause: Suspect) {
        val beside = incident.partsBeside(cause.key)
        for (key in incident.keys) {
            val crash = suspects[key]?.takeIf { !it.isBlocked }?.crashes?.get(incident.server)
            if (crash == null) continue
            if (crash.explainedBy == null) crash.explainedBy = cause.key.part
            if (key in beside || cause.key.part.isOwnPart) crash.isTogether = true
        }
    }

    /** Records that the blocked [cause] explains each crash with it. */
    fun explainAll(cause: Suspect) = incidents.withPart(cause.key).forEach { explain(it, cause) }

    /** Records that [cause] explains no crash. */
    fun release(cause: Suspect) {
        for (suspect in suspects.values) {
            if (!suspect.key.isBesides(cause.key)) continue
            suspect.crashes.values.filter { it.explainedBy == cause.key.part }.forEach {
                it.explainedBy = null
                it.isTogether = false
            }
        }
    }

    /** Forgets old crashes, and blocked parts that no request had for a long time. */
    fun forget(nowMs: Long) {
        if (forgottenMs != Long.MIN_VALUE && nowMs - forgottenMs < FORGET_INTERVAL_MS) return
        forgottenMs = nowMs
        val oldestMs = nowMs - CRASH_LIFETIME_MS
        incidents.forgetBefore(oldestMs)
        suspects.values.removeIf { suspect ->
            suspect.crashes.values.removeIf { it.seenMs <= oldestMs }
            val isOver = isOver(suspect, nowMs)
            if (isOver &&
                (suspect.isLogged || suspect.isBlocked)
            ) {
                log.change("forgotten", suspect, nowMs)
            }
            isOver
        }
        refreshBlocked()
    }

    /** Forgets the parts of servers of [service] with a version that none of [present] has. */
    fun keepVersions(service: ServiceId, present: Set<String?>, nowMs: Long) {
        for (suspect in suspects.values.filter { it.key.service == service }) {
            if (suspect.key.version in present) {
                suspect.versionGoneMs = null
                continue
            }
            val goneMs = suspect.versionGoneMs ?: nowMs
            suspect.versionGoneMs = goneMs
            if (nowMs - goneMs < VERSION_LIFETIME_MS) continue
            if (suspect.isLogged || suspect.isBlocked) log.change("forgotten", suspect, nowMs)
            release(suspect)
            remove(suspect)
        }
    }

    private fun isOver(suspect: Suspect, nowMs: Long): Boolean {
        if (!suspect.isBlocked) return suspect.crashes.isEmpty()
        return suspect.schedule.idleMs(nowMs) >= BLOCK_LIFETIME_MS
    }

    private fun forgetLeast() {
        suspects.values.sortedWith(compareBy({ it.isBlocked }, { it.crashes.size }, { it.lastMs }))
            .take(FORGOTTEN_AT_ONCE)
            .forEach { suspects.remove(it.key) }
        refreshBlocked()
    }

    private fun refreshBlocked() {
        if (blocked.isEmpty() && suspects.values.none { it.isBlocked }) return
        blocked = suspects.values.filter { it.isBlocked }
    }

    internal companion object {
        const val CRASH_LIFETIME_MS = 600_000L
        const val MAX_SUSPECTS = 2_048
        private const val FORGOTTEN_AT_ONCE = 512
        private const val FORGET_INTERVAL_MS = 1_000L

        // Servers are registered again well within this time after an outage of the store.
        private const val VERSION_LIFETIME_MS = 60_000L
        private const val BLOCK_LIFETIME_MS = 86_400_000L
    }
}
