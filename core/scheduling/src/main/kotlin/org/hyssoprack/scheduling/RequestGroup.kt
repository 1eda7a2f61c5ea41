package org.hyssoprack.scheduling

/**
 * Waiting requests that one registration with an owner covers.
 *
 * @property sentCount number of requests that the owner has registered, less the grants since then.
 */
internal class RequestGroup {
    val waiting = LinkedHashSet<EntryRequest>()
    var sentCount = 0
    var sentAtMs = 0L
}
