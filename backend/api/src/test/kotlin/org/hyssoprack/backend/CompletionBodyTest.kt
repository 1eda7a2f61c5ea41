package org.hyssoprack.backend

import assertk.assertThat
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.ModelId

class CompletionBodyTest {
    @Example
    fun `completion bodies are parsed, invalid ones give null`() {
        cases.forEach { (json, expected) ->
            assertThat(CompletionBody.parse(json), name = json).isEqualTo(expected)
        }
    }

    private val cases = listOf(
        Case("no json", null),
        Case("[]", null),
        Case("""{"model":"m"}""", null),
        Case("""{"prompt":7}""", null),
        Case("""{"prompt":"hi"}""", body(prompt = "hi")),
        Case(
            """{"model":"m","prompt":"hi","max_tokens":9,"stream":true,"user":"u"}""",
            body(model = "m", prompt = "hi", maxTokens = 9, stream = true, user = "u")
        ),
        Case(
            """{"messages":[{"role":"system","content":"be kind"},{"role":"user","content":"hi"}]}""",
            body(prompt = "system: be kind\nuser: hi")
        )
    )

    private fun body(
        model: String? = null,
        prompt: String,
        maxTokens: Int? = null,
        stream: Boolean = false,
        user: String? = null
    ) = CompletionBody(
        model = model?.let(::ModelId),
        prompt = prompt,
        maxTokens = maxTokens,
        stream = stream,
        user = user
    )

    private data class Case(val json: String, val expected: CompletionBody?)
}
