package org.hyssoprack.serving.placement

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.RegisteredServer

/** Returns the state of a new server with four slots. */
internal fun serverState(clock: Clock, id: String, memory: Long, domain: String = "d0") =
    ServerState(
        server = RegisteredServer(
            id = BackendServerId(id),
            service = ServiceId("s"),
            address = NetworkAddress("10.0.0.1", 80),
            domain = FailureDomain(domain),
            slots = 4
        ),
        clock = clock,
        memoryTokens = memory
    )
