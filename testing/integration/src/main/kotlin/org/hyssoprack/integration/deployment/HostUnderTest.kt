package org.hyssoprack.integration.deployment

import java.nio.file.Path
import java.time.Duration
import kotlin.io.path.writeText
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.faultproxy.ListenerSettings

/**
 * One entry host: a daemon whose links, caller connections and platform calls pass through the
 * fault proxy. Proxy listeners are named by their traffic and host: `callers-h1`, `link-h1`,
 * `table-h1`, `objects-h1`, `hostlist-h1`.
 */
class HostUnderTest internal constructor(
    val name: String,
    private val index: Int,
    private val directory: Path,
    private val platform: PlatformUnderTest,
    ports: PortPool
) {
    private val link = ports.next()
    private val callers = ports.next()
    private val operators = ports.next()
    private val proxiedAddresses = PROXIED.associateWith { ports.next() }
    private var process: ChildProcess? = null

    /** Class path that the next launch uses. */
    var classPath: String = ChildProcess.ownClassPath()

    /** Address of the host's caller listener on the proxy, in the form `ip:port`. */
    val callerAddress: String = proxiedAddresses.getValue("callers")
    val operatorUrl: String = "http://$operators"

    /** Host id and incarnation of the last run; null until the host first lists itself. */
    @Volatile
    var ref: HostRef? = null
        private set

    val isAlive: Boolean get() = process?.isAlive == true

    internal val linkAddress: String get() = proxiedAddresses.getValue("link")

    internal fun listeners(): List<ListenerSettings> {
        val targets = mapOf(
            "callers" to callers,
            "link" to link,
            "table" to platform.table,
            "objects" to platform.objects,
            "hostlist" to platform.hostList
        )
        return PROXIED.map {
            ListenerSettings("$it-$name", proxiedAddresses.getValue(it), targets.getValue(it))
        }
    }

    /** Starts the daemon with [seeds] as the addresses of its peers. */
    internal fun launch(seeds: List<String>) {
        val file = directory.resolve("$name.json")
        file.writeText(settings(seeds).toString())
        process = ChildProcess.start(
            name = name,
            mainClass = "org.hyssoprack.daemon.DaemonMainKt",
            args = listOf("--settings", file.toString()),
            directory = directory,
            heapMb = HEAP_MB,
            classPath = classPath
        )
    }

    /** Waits until `GET /v1/hosts` on the host lists the host itself. */
    internal fun awaitReady() {
        val url = "http://$callers/v1/hosts"
        Http.awaitAnswer(url, START_TIMEOUT_MS) { isAlive }
        val endNanos = System.nanoTime() + Duration.ofMillis(START_TIMEOUT_MS).toNanos()
        while (true) {
            ref = listed()
            if (ref != null) return
            check(System.nanoTime() < endNanos) {
                "GET $url did not list $name within $START_TIMEOUT_MS ms"
            }
            Thread.sleep(STEP_MS)
        }
    }

    /**
     * Returns true if the host accepts calls. An invalid body is answered with status 400 only
     * then, because a host checks bodies only after it has confirmed that its bundle is current.
     */
    fun acceptsCalls(): Boolean {
        val url = "http://$callers/v1/completions"
        val key = TestPolicy.keyOf(TestPolicy.ACCOUNT)
        return Http.send("POST", url, body = "{}", bearer = key).status == BAD_REQUEST
    }

    /** Returns the host names from `GET /v1/hosts`, requested without the proxy. */
    fun listedHosts(): List<String> =
        hostEntries().map { it.getValue("host").jsonPrimitive.content }

    internal fun terminate() = process?.terminate()

    internal fun awaitEnd(timeoutMs: Long): Boolean = process?.awaitEnd(timeoutMs) ?: true

    internal fun kill() = process?.kill()

    internal fun pause() = process?.pause()

    internal fun resume() = process?.resume()

    private fun listed(): HostRef? {
        val own = hostEntries().firstOrNull { it.getValue("host").jsonPrimitive.content == name }
            ?: return null
        val incarnation = Incarnation.parse(own.getValue("incarnation").jsonPrimitive.content)
        return incarnation?.let { HostRef(HostId(name), it) }
    }

    private fun hostEntries(): List<JsonObject> {
        val body = Json.parseToJsonElement(Http.sendOrFail("GET", "http://$callers/v1/hosts"))
        return body.jsonObject.getValue("hosts").jsonArray.map { it.jsonObject }
    }

    private fun settings(seeds: List<String>) = buildJsonObject {
        put("host", name)
        put("domain", "d${1 + index % BackendsUnderTest.DOMAINS}")
        put("region", "r1")
        put("link", link)
        put("advertisedLink", linkAddress)
        put("callers", callers)
        put("operators", operators)
        put("tableService", proxiedAddresses.getValue("table"))
        put("objectStore", proxiedAddresses.getValue("objects"))
        put("hostList", proxiedAddresses.getValue("hostlist"))
        put("weightStore", platform.weights)
        put("addressTtlMs", ADDRESS_TTL_MS)
        putJsonArray("peers") { seeds.forEach { add(it) } }
        putJsonArray("operatorKeys") {
            listOf(TestPolicy.FIRST_OPERATOR, TestPolicy.SECOND_OPERATOR).forEach {
                addJsonObject {
                    put("name", it)
                    put("keyHash", TestPolicy.hash(TestPolicy.keyOf(it)))
                }
            }
        }
    }

    private companion object {
        const val HEAP_MB = 192
        const val START_TIMEOUT_MS = 30_000L
        const val STEP_MS = 50L
        const val BAD_REQUEST = 400
        const val ADDRESS_TTL_MS = 1_000L
        val PROXIED = listOf("callers", "link", "table", "objects", "hostlist")
    }
}
