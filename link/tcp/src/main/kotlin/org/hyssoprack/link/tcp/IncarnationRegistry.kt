package org.hyssoprack.link.tcp

import java.util.concurrent.ConcurrentHashMap
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation

/** Tracks the newest incarnation of each peer. */
internal class IncarnationRegistry(private val self: HostRef) {
    private val newest = ConcurrentHashMap<HostId, Incarnation>()

    /** Returns false if a newer incarnation of [ref] was seen, or if it has this host's id. */
    fun admit(ref: HostRef): Boolean {
        if (ref.host == self.host) return false
        val newestSeen = newest.merge(ref.host, ref.incarnation) { old, new -> maxOf(old, new) }
        return newestSeen == ref.incarnation
    }
}
