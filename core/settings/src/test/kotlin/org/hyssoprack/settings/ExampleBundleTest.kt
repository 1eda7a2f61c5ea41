package org.hyssoprack.settings

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isNotNull
import java.nio.file.Path
import kotlin.io.path.readText
import net.jqwik.api.Example
import org.hyssoprack.policy.DefaultPolicyCompiler

class ExampleBundleTest {
    private val examples = listOf("keepsake", "sign-studio").map { Path.of("../../examples", it) }

    @Example
    fun `every example compiles`() {
        for (example in examples) {
            val json = example.resolve("bundle.json").readText()
            val bundle = BundleCompiler().compile(json).fold({ error(it.toString()) }, { it })
            assertThat(bundle.policy.accounts.size).isEqualTo(5)
            assertThat(bundle.policy.routes.firstOrNull { it.once }).isNotNull()
        }
    }

    @Example
    fun `the policy file is the text in the bundle and in the standard layout`() {
        for (example in examples) {
            val text = example.resolve("policy.hys").readText()
            val json = example.resolve("bundle.json").readText()
            assertThat(BundleCompiler().compile(json).getOrNull()?.bundle?.policy).isEqualTo(text)
            assertThat(DefaultPolicyCompiler().format(text).getOrNull()).isEqualTo(text)
        }
    }
}
