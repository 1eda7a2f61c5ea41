package org.hyssoprack.common

import assertk.assertThat
import assertk.assertions.contains
import assertk.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.readText
import net.jqwik.api.Example

class ResultCodeTest {
    @Example
    fun `the documented table matches the code`() {
        val page = Path.of("../../docs/RESULT-CODES.md").readText()
        assertThat(page).contains(ResultCodeTable.markdown())
    }

    @Example
    fun `numbers are unique and their first digit names the outcome`() {
        val codes = ResultCode.entries
        assertThat(codes.map { it.number }.distinct().size).isEqualTo(codes.size)
        codes.filter { it.number / 1000 <= 4 }.forEach {
            val expected = when (it.number / 1000) {
                1 -> Outcome.DONE
                3 -> Outcome.UNKNOWN
                else -> Outcome.NOT_RUN
            }
            assertThat(it.outcome).isEqualTo(expected)
        }
    }
}
