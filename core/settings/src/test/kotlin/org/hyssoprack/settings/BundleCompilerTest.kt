package org.hyssoprack.settings

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isEqualTo
import assertk.assertions.isNotNull
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ContentHash

class BundleCompilerTest {
    private val valid = TestBundles.json(1)
    private val key = ContentHash.of("key 1").value

    @Example
    fun `all faults of a bundle are listed with their paths`() {
        class Case(val json: String, vararg val faults: String)
        val hash = "expected a SHA-256 hash of 64 lower-case hexadecimal digits"
        val cases = listOf(
            Case("[]", "$: found an array; expected an object", "$.policy: the text is empty"),
            Case(
                "{}",
                "$.policy: the field is missing",
                "$.accounts: the field is missing",
                "$.policy: the text is empty"
            ),
            Case(
                valid.replaceFirst("{", "{\"polices\":1,"),
                "$.polices: unknown field; known are policy and accounts"
            ),
            Case(valid.replace(key, "abc"), "$.accounts[0].keyHashes[0]: $hash"),
            Case(valid.replace("\"$key\"", "7"), "$.accounts[0].keyHashes[0]: $hash"),
            Case(
                valid.replace("\"$key\"", "\"$key\",\"$key\""),
                "$.accounts[0].keyHashes[1]: account 'alpha' has this key already"
            ),
            Case(
                valid.replace("\"alpha\"", "\"beta\""),
                "$.accounts[0].name: the policy does not declare account 'beta'",
                "$.accounts: account 'alpha' of the policy is not listed"
            ),
            Case(
                valid.replace("\"name\":\"alpha\"", "\"nam\":\"alpha\""),
                "$.accounts[0].nam: unknown field; known are name and keyHashes",
                "$.accounts[0].name: the field is missing",
                "$.accounts: account 'alpha' of the policy is not listed"
            ),
            Case(
                valid.replace("}]}", "},{\"name\":\"alpha\",\"keyHashes\":[]}]}"),
                "$.accounts[1].name: account 'alpha' is listed twice"
            ),
            Case(
                valid.replace("tier high objective", "tier high objektive").replace(key, "x"),
                "$.accounts[0].keyHashes[0]: $hash",
                "$.policy: line 1, column 11: found 'objektive'; expected 'objective'"
            )
        )
        for (case in cases) {
            val faults = BundleCompiler().compile(case.json).leftOrNull().orEmpty()
            assertThat(faults.map { "${it.path}: ${it.detail}" }, case.json)
                .containsExactly(*case.faults)
        }
    }

    @Example
    fun `a valid bundle maps key hashes to accounts`() {
        val bundle = BundleCompiler().compile(valid).getOrNull()
        assertThat(bundle?.accountByKeyHash)
            .isEqualTo(mapOf(ContentHash(key) to ClientAccount("alpha")))
    }

    @Property(tries = 500)
    fun `any text compiles to a bundle or returns faults`(@ForAll text: String) {
        assertThat(BundleCompiler().compile(text)).isNotNull()
        assertThat(BundleCompiler().compile("{\"policy\":$text}")).isNotNull()
    }

    @Example
    fun `deeply nested JSON returns faults`() {
        assertThat(BundleCompiler().compile("[".repeat(200_000)).leftOrNull()).isNotNull()
    }
}
