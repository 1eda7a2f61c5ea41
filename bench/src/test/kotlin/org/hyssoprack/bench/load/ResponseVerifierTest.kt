package org.hyssoprack.bench.load

import assertk.assertThat
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.bench.experiment.LengthDistribution
import org.hyssoprack.bench.experiment.TrafficClass

class ResponseVerifierTest {
    @Example
    fun `only the full response to the request itself is complete`() {
        cases.forEach { case ->
            val verifier = ResponseVerifier(planned())
            case.lines.forEach { verifier.accept(it) }
            assertThat(verifier.isComplete, name = case.name).isEqualTo(case.isComplete)
            assertThat(verifier.isWrong, name = case.name).isEqualTo(case.isWrong)
            assertThat(verifier.error?.number, name = case.name).isEqualTo(case.error)
        }
    }

    private fun planned() = PlannedRequest(
        number = 7,
        atMs = 0.0,
        traffic = TrafficClass(
            name = "c",
            tier = "t",
            account = "a",
            weight = 1.0,
            prompt = LengthDistribution(median = 1, max = 1),
            answer = LengthDistribution(median = 1, max = 1),
            deadlineMs = 1_000
        ),
        promptTokens = 1,
        answerTokens = 2,
        prefixGroup = null
    )

    private class Case(
        val name: String,
        val lines: List<String>,
        val isComplete: Boolean = false,
        val isWrong: Boolean = false,
        val error: Int? = null
    )

    private companion object {
        const val DONE = "data: [DONE]"

        fun token(text: String) = """data: {"id":"x","choices":[{"index":0,"text":"$text "}]}"""

        fun usage(count: Int) = """data: {"choices":[],"usage":{"completion_tokens":$count}}"""

        val cases = listOf(
            Case(
                "complete",
                listOf(token("r7:0"), "", token("r7:1"), usage(2), DONE),
                isComplete = true
            ),
            Case("no end marker", listOf(token("r7:0"), token("r7:1"), usage(2))),
            Case("a token missing", listOf(token("r7:0"), usage(2), DONE)),
            Case("a wrong count", listOf(token("r7:0"), token("r7:1"), usage(3), DONE)),
            Case("token of another request", listOf(token("r7:0"), token("r8:1")), isWrong = true),
            Case("out of order", listOf(token("r7:1"), token("r7:0")), isWrong = true),
            Case("duplicate token", listOf(token("r7:0"), token("r7:0")), isWrong = true),
            Case(
                "an error in the stream",
                listOf(token("r7:0"), "event: error", """data: {"number":3003}"""),
                error = 3003
            )
        )
    }
}
