package org.hyssoprack.standins.hostlist

import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.serialization.builtins.ListSerializer
import org.hyssoprack.standins.platform.Outage
import org.hyssoprack.standins.platform.hang
import org.hyssoprack.standins.platform.receiveJson
import org.hyssoprack.standins.platform.respondJson
import org.hyssoprack.standins.platform.respondUnavailable
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.http.PlatformPath

/** HTTP routes of the host list. */
internal class HostListRoutes(private val list: LaggingList) {
    @Volatile
    private var outage = Outage.NONE

    fun install(routing: Routing) = with(routing) {
        get(PlatformPath.BACKEND_SERVERS) {
            when (outage) {
                Outage.HANG -> call.hang()
                Outage.UNAVAILABLE -> call.respondUnavailable()
                Outage.NONE ->
                    call.respondJson(ListSerializer(BackendServer.serializer()), list.read())
            }
        }
        put(PlatformPath.BACKEND_SERVERS) {
            list.set(call.receiveJson())
            call.respondText("set")
        }
        post("/faults") {
            outage = call.receiveJson<HostListFaults>().outage
            call.respondText("set")
        }
    }
}
