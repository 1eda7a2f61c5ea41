package org.hyssoprack.standins.platform

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isNull
import io.ktor.server.routing.Routing
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode
import org.hyssoprack.standins.hostlist.HostListRoutes
import org.hyssoprack.standins.hostlist.LaggingList
import org.hyssoprack.standins.objects.ObjectRoutes
import org.hyssoprack.standins.weights.WeightRoutes
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.BackendServerKind
import org.hyssoprack.store.http.HttpHostList
import org.hyssoprack.store.http.HttpObjectStore
import org.hyssoprack.store.http.HttpWeightStore
import org.hyssoprack.store.http.PlatformServiceClient
import org.hyssoprack.store.http.PlatformSettings

class PlatformClientsTest {
    private val server = BackendServer(
        id = BackendServerId("e1"),
        kind = BackendServerKind.ENGINE,
        address = NetworkAddress(ip = "127.0.0.1", port = 9000),
        domain = FailureDomain("a")
    )

    @Example
    fun `an object is returned by its hash and an unknown hash returns null`() =
        withServer({ ObjectRoutes().install(this) }) {
            val store = HttpObjectStore(it)
            val hash = checkNotNull(store.put("body".toByteArray()).getOrNull())
            assertThat(store.get(hash).getOrNull()?.decodeToString()).isEqualTo("body")
            val missing = ContentHash(hash.value.reversed())
            assertThat(store.get(missing).getOrNull()).isNull()
            assertThat(store.get(missing).isRight()).isEqualTo(true)
        }

    @Example
    fun `a change of the host list becomes visible after the lag and not before`() {
        val clock = ManualClock()
        val list = LaggingList(lagMs = 1_000, first = emptyList(), clock = clock)
        list.set(listOf(server))
        val seen = listOf(0L, 999L, 1L).map { stepMs ->
            clock.advance(stepMs)
            list.read().size
        }
        assertThat(seen).isEqualTo(listOf(0, 0, 1))
    }

    @Example
    fun `the host list is read over HTTP`() {
        val list = LaggingList(lagMs = 0, first = listOf(server))
        withServer({ HostListRoutes(list).install(this) }) {
            val read = HttpHostList(it).backendServers().getOrNull()
            assertThat(read).isEqualTo(listOf(server))
        }
    }

    @Example
    fun `the weight store refuses calls over its limit with its own result code`() =
        withServer({ WeightRoutes(perSecond = 1).install(this) }) {
            val store = HttpWeightStore(it)
            val model = ModelId("m/1")
            val first = store.versions(model).getOrNull()?.map { found -> found.model }
            assertThat(first).isEqualTo(listOf(model))
            val second = store.versions(model).leftOrNull()
            assertThat(second?.code).isEqualTo(ResultCode.STORE_LIMITED)
        }

    @Example
    fun `calls succeed again after the service recovers`() {
        val address = freeAddress()
        runBlocking {
            PlatformServiceClient(address).use { connection ->
                val store = HttpObjectStore(connection)
                val codes = List(10) { store.put(byteArrayOf(1)).leftOrNull()?.code }.distinct()
                assertThat(codes).isEqualTo(listOf(ResultCode.STORE_UNAVAILABLE))
                serve("objects", address.toString()) { ObjectRoutes().install(this) }.use {
                    withTimeout(10_000) {
                        while (store.put(byteArrayOf(1)).isLeft()) delay(50)
                    }
                }
            }
        }
    }

    private fun withServer(
        routes: Routing.() -> Unit,
        block: suspend (PlatformServiceClient) -> Unit
    ) {
        val address = freeAddress()
        serve(name = "test", address = address.toString(), routes = routes).use {
            runBlocking { PlatformServiceClient(address, LONG_TIMEOUTS).use { block(it) } }
        }
    }

    private companion object {
        // These cases do not test timeouts, and a first call is slow on a busy machine.
        val LONG_TIMEOUTS = PlatformSettings(connectTimeoutMs = 30_000, requestTimeoutMs = 30_000)
    }
}
