package org.hyssoprack.scheduling

/** What a [Model] knows of one request. [runsMs] is the time that it needs on a server. */
class ModelRequest(val request: WaitingRequest, val host: Int, val runsMs: Long) {
    val outcomes = ArrayList<String>()
    var dispatches = 0
    var preemptions = 0
    var runningOn: FleetServer? = null
    var leftMs = runsMs
    var cancelAtMs: Long? = null
    var suspendAtMs: Long? = null
}
