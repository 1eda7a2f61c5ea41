package org.hyssoprack.cli

import assertk.assertThat
import assertk.assertions.contains
import assertk.assertions.containsExactly
import assertk.assertions.isEqualTo
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlinx.serialization.json.Json
import net.jqwik.api.Example
import org.hyssoprack.burn.BurnSnapshot
import org.hyssoprack.burn.BurnTracker
import org.hyssoprack.burn.SloOutcome
import org.hyssoprack.burn.TierObjective
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostId
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.TierName

class HyssoprackTest {
    private val output = ByteArrayOutputStream()
    private val errors = ByteArrayOutputStream()
    private val hash = "a".repeat(64)

    @Example
    fun `each command requests its path and prints the answer`() = withServer { server ->
        class Case(val args: String, val request: String, val answer: String, val printed: String)
        val history = "[{\"version\":2,\"hash\":\"$hash\"," +
            "\"acceptedBy\":\"ann\",\"changeId\":\"c\"}]"
        val hosts = "[{\"host\":\"h1\",\"state\":\"alive\",\"domain\":\"d\",\"region\":\"r\"," +
            "\"callers\":\"127.0.0.1:1\",\"load\":7,\"bundle\":2,\"new\":1}]"
        val servers = "[{\"id\":\"e1\",\"kind\":\"engine\",\"address\":\"127.0.0.1:2\"," +
            "\"domain\":\"d\",\"generation\":\"g\",\"owner\":\"h1\"}]"
        val cases = listOf(
            Case("sign-off $hash", "POST /v1/bundles/$hash/sign-off", "", "signed off"),
            Case(
                "accept $hash --base 1",
                "POST /v1/bundles/$hash/accept?base=1",
                "{\"version\":2,\"hash\":\"$hash\"}",
                "accepted as version 2"
            ),
            Case("show $hash", "GET /v1/bundles/$hash", "{\"policy\":1}", "{\"policy\":1}"),
            Case("history", "GET /v1/bundles", history, "2        $hash  ann"),
            Case("hosts", "GET /v1/hosts", hosts, "h1    alive"),
            Case("backend-servers", "GET /v1/backend-servers", servers, "e1  engine"),
            Case("owners", "GET /v1/backend-servers", servers, "h1     1        e1"),
            Case("order e1 m v2 --adapters a,b", "POST /v1/orders", "{\"fencing\":3}", "fencing")
        )
        for (case in cases) {
            server.answer(case.request, case.answer)
            val status = run(case.args, server.address)
            assertThat(status, case.args + errors).isEqualTo(0)
            assertThat(output.toString()).contains(case.printed)
            assertThat(server.requests.last()).isEqualTo(case.request)
        }
        assertThat(server.bodies.last()).contains("\"adapters\":[\"a\",\"b\"]")
    }

    @Example
    fun `an error shows its code, and the exit status is its family`() = withServer { server ->
        val codes = listOf(
            ResultCode.BUNDLE_CONFLICT,
            ResultCode.KEY_UNKNOWN,
            ResultCode.STORE_LIMITED
        )
        for (code in codes) {
            val body = "{\"number\":${code.number},\"name\":\"x\",\"outcome\":\"y\"," +
                "\"detail\":\"because\",\"retry_after_ms\":50}"
            server.answer("GET /v1/hosts", body, status = code.httpStatus)
            assertThat(run("hosts", server.address)).isEqualTo(code.number / 1000)
            val shown = "${code.number} ${code.wireName} (${code.outcome.wireName})"
            for (part in listOf(shown, "because", "50 ms")) {
                assertThat(errors.toString()).contains(part)
            }
        }
    }

    @Example
    fun `a call goes to the next host if one cannot be reached`() = withServer { server ->
        server.answer("GET /v1/hosts", "[]")
        assertThat(run("hosts", "${closedAddress()},${server.address}")).isEqualTo(0)
        assertThat(run("hosts", closedAddress())).isEqualTo(6)
        assertThat(errors.toString()).contains("cannot be reached")
    }

    @Example
    fun `a missing key or an invalid address is an error`() {
        assertThat(Hyssoprack(console()) { null }.run(arrayOf("hosts"))).isEqualTo(4)
        assertThat(errors.toString()).contains(ConnectionOptions.KEY_VARIABLE)
        assertThat(run("hosts", "example.org:80")).isEqualTo(5)
        assertThat(errors.toString()).contains("'example.org:80' is not an address")
    }

    @Example
    fun `options take precedence over environment variables`() = withServer { server ->
        val keyFile = Files.createTempFile("key", ".txt")
        keyFile.writeText("from-file\n")
        server.answer("GET /v1/hosts", "[]")
        val args = "hosts --hosts ${server.address} --key-file $keyFile"
        assertThat(run(args, hosts = "127.0.0.1:1")).isEqualTo(0)
        assertThat(server.keys.last()).isEqualTo("Bearer from-file")
        assertThat(run("hosts", server.address)).isEqualTo(0)
        assertThat(server.keys.last()).isEqualTo("Bearer secret")
        Files.delete(keyFile)
    }

    @Example
    fun `check lists the faults of bundles and policies`() {
        val file = Files.createTempFile("bundle", ".hys")
        file.writeText("tier a\nteir b")
        assertThat(run("check $file", "-")).isEqualTo(5)
        for (part in listOf("$file:2:1: 5001", "'objective'")) {
            assertThat(errors.toString()).contains(part)
        }
        assertThat(run("check ../examples/keepsake/bundle.json", "-")).isEqualTo(0)
        assertThat(run("check ../examples/keepsake/policy.hys", "-")).isEqualTo(0)
        assertThat(run("check ../examples/missing.json", "-")).isEqualTo(5)
        Files.delete(file)
    }

    @Example
    fun `explain finds the cause in log files`() {
        val file = Files.createTempFile("host", ".log")
        file.writeText(
            "2026-01-02T03:04:05.678 event=request-ended self=a request=x code=stream-broken " +
                "detail=closed servers=s1 totalMs=180\n"
        )
        assertThat(run("explain x $file", "-")).isEqualTo(0)
        assertThat(output.toString()).contains("server-failed: Server s1: closed")
        assertThat(run("explain y $file", "-")).isEqualTo(4)
        assertThat(run("explain x $file.missing", "-")).isEqualTo(5)
        Files.delete(file)
    }

    @Example
    fun `metrics sums the counters of several hosts`() {
        val files = List(2) { Files.createTempFile("host", ".txt") }
        files.forEach {
            it.writeText("hyssoprack_requests_total{code=\"ok\",route=\"r\"} 3.0\n")
        }
        assertThat(run("metrics ${files[0]} ${files[1]}", "-")).isEqualTo(0)
        assertThat(output.toString()).contains("6")
        files.forEach { Files.delete(it) }
    }

    @Example
    fun `diff shows changed lines, accounts and keys`() {
        val from = "../examples/keepsake/bundle.json"
        val file = Files.createTempFile("bundle", ".json")
        val text = Path.of(from).readText()
        file.writeText(text.replace("queue 500", "queue 600").replace("\"lodges\"", "\"homes\""))
        assertThat(run("diff $from $file", "127.0.0.1:1")).isEqualTo(0)
        for (part in listOf("-   queue 500", "+   queue 600", "+ homes with 1 keys")) {
            assertThat(output.toString()).contains(part)
        }
        assertThat(run("diff $from $from", "127.0.0.1:1")).isEqualTo(0)
        assertThat(output.toString()).contains("no difference")
        Files.delete(file)
    }

    @Example
    fun `a line diff marks removed and added lines`() {
        class Case(val from: String, val to: String, val diff: String)
        val cases = listOf(
            Case("a b c", "a b c", ""),
            Case("a b c", "a c", "  a|- b|  c"),
            Case("a c", "a b c", "  a|+ b|  c"),
            Case("a b c d e f g h", "x b c d e f g y", "- a|+ x|  b|  c|  ...|  f|  g|- h|+ y"),
            Case("a", "b", "- a|+ b")
        )
        for (case in cases) {
            val diff = LineDiff.text(case.from.split(' '), case.to.split(' '))
            val lines = diff.lines().filter { it.isNotEmpty() }
            assertThat(lines.joinToString("|")).isEqualTo(case.diff)
        }
    }

    @Example
    fun `burn merges the snapshots of all hosts and lists hosts without an answer`() {
        val servers = List(2) { FakeOperatorServer() }
        for ((index, server) in servers.withIndex()) {
            val body = Json.encodeToString(BurnSnapshot.serializer(), snapshot("h$index"))
            server.answer("GET /v1/burn", body)
        }
        val closed = closedAddress()
        val page = Files.createTempFile("burn", ".html")
        val hosts = servers.joinToString(",") { it.address } + ",$closed"
        assertThat(run("burn --html $page", hosts)).isEqualTo(0)
        for (part in listOf("letters", "FAST BURN", "2 hosts", closed)) {
            assertThat(output.toString()).contains(part)
        }
        assertThat(page.readText()).contains("FAST BURN")
        servers.forEach { it.close() }
        Files.delete(page)
    }

    @Example
    fun `proposals send the file and print the hash`() = withServer { server ->
        server.answer("POST /v1/bundles", "{\"hash\":\"$hash\"}")
        assertThat(run("propose ../examples/keepsake/bundle.json", server.address)).isEqualTo(0)
        assertThat(output.toString().trim()).isEqualTo(hash)
        val sent = Path.of("../examples/keepsake/bundle.json").readText()
        assertThat(server.bodies).containsExactly(sent)
    }

    private fun snapshot(host: String): BurnSnapshot {
        val log = BurnTracker(ManualClock(ms = 1_700_000_000_000))
        repeat(10) { log.record(TierName("letters"), ClientAccount("families"), SloOutcome.SHED) }
        val objective = TierObjective(TierName("letters"), objective = 0.99)
        return log.snapshot(HostId(host), listOf(objective))
    }

    private fun withServer(test: (FakeOperatorServer) -> Unit) =
        FakeOperatorServer().use { test(it) }

    private fun run(args: String, hosts: String): Int {
        output.reset()
        errors.reset()
        val environment = mapOf(
            ConnectionOptions.KEY_VARIABLE to "secret",
            ConnectionOptions.HOSTS_VARIABLE to hosts
        )
        return Hyssoprack(console()) { environment[it] }.run(args.split(' ').toTypedArray())
    }

    private fun console() = Console(PrintStream(output, true), PrintStream(errors, true))

    private fun closedAddress(): String = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }
}
