package org.hyssoprack.standins.weights

import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import java.util.concurrent.ConcurrentHashMap
import kotlinx.serialization.builtins.ListSerializer
import org.hyssoprack.common.ModelId
import org.hyssoprack.standins.platform.Outage
import org.hyssoprack.standins.platform.RateLimiter
import org.hyssoprack.standins.platform.hang
import org.hyssoprack.standins.platform.receiveJson
import org.hyssoprack.standins.platform.respondJson
import org.hyssoprack.standins.platform.respondLimited
import org.hyssoprack.standins.platform.respondUnavailable
import org.hyssoprack.store.ModelVersion
import org.hyssoprack.store.http.PlatformPath

/** HTTP routes of the weight store. A model without stored versions has the single version `1`. */
internal class WeightRoutes(perSecond: Int) {
    private val versions = ConcurrentHashMap<String, List<ModelVersion>>()

    @Volatile
    private var limit = RateLimiter(perSecond)

    @Volatile
    private var outage = Outage.NONE

    fun install(routing: Routing) = with(routing) {
        get("${PlatformPath.MODELS}/{model}/versions") { list(call) }
        put("${PlatformPath.MODELS}/{model}/versions") {
            versions[call.parameters["model"].orEmpty()] = call.receiveJson()
            call.respondText("set")
        }
        post("/faults") {
            val faults = call.receiveJson<WeightFaults>()
            outage = faults.outage
            faults.callsPerSecond?.let { limit = RateLimiter(it) }
            call.respondText("set")
        }
    }

    private suspend fun list(call: ApplicationCall) {
        if (outage == Outage.HANG) return call.hang()
        if (outage == Outage.UNAVAILABLE) return call.respondUnavailable()
        if (!limit.tryAcquire()) return call.respondLimited()
        val model = call.parameters["model"].orEmpty()
        val modelVersions = versions[model] ?: listOf(defaultVersion(model))
        call.respondJson(ListSerializer(ModelVersion.serializer()), modelVersions)
    }

    private fun defaultVersion(model: String) =
        ModelVersion(model = ModelId(model), version = "1", sizeBytes = MODEL_BYTES)

    private companion object {
        const val MODEL_BYTES = 8_000_000_000
    }
}
