package org.hyssoprack.daemon

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.hyssoprack.common.NetworkAddress

class SettingsReaderTest {
    private class Case(val name: String, val change: (String) -> String, val paths: List<String>)

    private val cases = listOf(
        Case("valid", { it }, emptyList()),
        Case("not JSON", { "{" }, listOf("$")),
        Case("not an object", { "[]" }, listOf("$")),
        Case("an unknown field", { it.replace("{\"host\"", "{\"a\":1,\"host\"") }, listOf("$.a")),
        Case("a host name in an address", {
            it.replace("127.0.0.1:1\"", "node:1\"")
        }, listOf("$.link")),
        Case(
            name = "two errors at once",
            change = { it.replace("\"h1\"", "\"h 1\"").replace("127.0.0.1:9\"", "1.1.1.1:0\"") },
            paths = listOf("$.host", "$.peers[0]")
        ),
        Case("a bad key hash", { it.replace("abc", "xyz") }, listOf("$.operatorKeys[0].keyHash")),
        Case("a number out of range", { it.replace("3000", "1") }, listOf("$.addressTtlMs"))
    )

    @Example
    fun `every error is listed with its path`() = cases.forEach { case ->
        val errors = SettingsReader().read(case.change(VALID)).leftOrNull().orEmpty()
        assertThat(errors.map { it.path }, case.name).isEqualTo(case.paths)
    }

    @Example
    fun `a valid file gives its values`() {
        val settings = SettingsReader().read(VALID).getOrNull()!!
        assertThat(settings.peers).containsExactly(NetworkAddress("127.0.0.1", 9))
        assertThat(settings.addressTtlMs).isEqualTo(3_000)
    }

    @Property(tries = 300)
    fun `any text gives settings or errors`(@ForAll text: String) {
        SettingsReader().read(text)
    }

    private companion object {
        val HASH = "abc".padEnd(64, '0')
        val VALID = """
            {"host":"h1","domain":"d1","region":"r1","link":"127.0.0.1:1","callers":"127.0.0.1:2",
            "operators":"127.0.0.1:3","tableService":"127.0.0.1:4","objectStore":"127.0.0.1:5",
            "hostList":"127.0.0.1:6","weightStore":"127.0.0.1:7","peers":["127.0.0.1:9"],
            "operatorKeys":[{"name":"o1","keyHash":"$HASH"}],"addressTtlMs":3000}
        """.trimIndent()
    }
}
