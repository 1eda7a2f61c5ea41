package org.hyssoprack.standins.table

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.builtins.ListSerializer
import org.hyssoprack.standins.platform.Outage
import org.hyssoprack.standins.platform.RateLimiter
import org.hyssoprack.standins.platform.hang
import org.hyssoprack.standins.platform.receiveJson
import org.hyssoprack.standins.platform.respondJson
import org.hyssoprack.standins.platform.respondLimited
import org.hyssoprack.standins.platform.respondUnavailable
import org.hyssoprack.store.http.PlatformPath
import org.hyssoprack.store.http.RowReply
import org.hyssoprack.store.http.RowsReply
import org.hyssoprack.store.http.ScanRequest
import org.hyssoprack.store.http.TableWrite

/** HTTP routes of the table service; [scope] runs the delayed writes. */
internal class TableRoutes(private val scope: CoroutineScope) {
    private val store = TableStore()
    val injector = TableFaultInjector()

    fun install(routing: Routing) = with(routing) {
        post(PlatformPath.TABLE_READ) { withFaults(call, injector.reads) { read(call) } }
        post(PlatformPath.TABLE_SCAN) { withFaults(call, injector.reads) { scan(call) } }
        post(PlatformPath.TABLE_WRITE) { withFaults(call, injector.writes) { write(call) } }
        post("/faults") {
            injector.set(call.receiveJson())
            call.respondText("set")
        }
        get("/faults") { call.respondJson(TableFaults.serializer(), injector.faults) }
        get("/log") {
            val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
            call.respondJson(ListSerializer(WriteRecord.serializer()), store.logAfter(after))
        }
    }

    private suspend fun withFaults(
        call: ApplicationCall,
        limit: RateLimiter,
        serve: suspend () -> Unit
    ) {
        if (injector.faults.outage == Outage.HANG) return call.hang()
        if (injector.faults.outage == Outage.UNAVAILABLE) return call.respondUnavailable()
        if (!limit.tryAcquire()) return call.respondLimited()
        delay(injector.faults.delayMs)
        serve()
    }

    private suspend fun read(call: ApplicationCall) =
        call.respondJson(RowReply.serializer(), RowReply(store.read(call.receiveJson())))

    private suspend fun scan(call: ApplicationCall) {
        val request = call.receiveJson<ScanRequest>()
        val rows = store.scan(table = request.table, prefix = request.prefix)
        call.respondJson(RowsReply.serializer(), RowsReply(rows))
    }

    private suspend fun write(call: ApplicationCall) {
        val write = call.receiveJson<TableWrite>()
        when (injector.drawWriteFault(write.key.table)) {
            WriteFault.NONE -> respond(call, write)
            WriteFault.REPLY_LOST -> {
                store.write(write, replyLost = true)
                call.hang()
            }
            WriteFault.LATE -> {
                applyLate(write, lateMs = injector.faults.lateMs)
                call.hang()
            }
        }
    }

    private suspend fun respond(call: ApplicationCall, write: TableWrite) {
        val row = store.write(write, replyLost = false)
        if (row != null) return call.respondJson(RowReply.serializer(), RowReply(row))
        val current = RowReply(store.read(write.key))
        call.respondJson(RowReply.serializer(), current, HttpStatusCode.Conflict)
    }

    private fun applyLate(write: TableWrite, lateMs: Long) = scope.launch {
        delay(lateMs)
        store.write(write, replyLost = true)
    }
}
