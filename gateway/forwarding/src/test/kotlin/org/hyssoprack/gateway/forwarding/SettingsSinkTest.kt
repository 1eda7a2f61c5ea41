package org.hyssoprack.gateway.forwarding

import arrow.core.right
import assertk.assertThat
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.serving.settings.ActiveSettings
import org.hyssoprack.serving.settings.ServingSettings
import org.hyssoprack.store.FeedRow

class SettingsSinkTest {
    @Example
    fun `what a restored store lists does not undo newer settings, and what is written again counts`() {
        // Each text is a version and a mark of its content.
        class Case(val name: String, val read: List<String>, val applied: List<String>)
        val cases = listOf(
            Case("unchanged, read again", listOf("9 b", "9 b"), listOf("9 b")),
            Case("newer", listOf("7 a", "9 b"), listOf("7 a", "9 b")),
            Case("an older copy", listOf("9 b", "7 a"), listOf("9 b")),
            Case("an older copy, then written again", listOf("9 b", "7 a", "9 b"), listOf("9 b")),
            Case("the same version, other content", listOf("9 a", "9 b"), listOf("9 a", "9 b")),
            Case("older ones written again", listOf("9 b", "7 a", "8 c", "9 b"), listOf("9 b"))
        )
        for (case in cases) assertThat(applied(case.read), case.name).isEqualTo(case.applied)
    }

    private fun applied(read: List<String>): List<String> {
        val applied = ArrayList<String>()
        var decoded = ""
        val sink = SettingsSink(
            active = ActiveSettings(ManualClock(1_000), maxAgeMs = { 4_000 }),
            rowKey = "config",
            decode = {
                decoded = it
                val version = BundleVersion(it.substringBefore(' ').toLong())
                ServingSettings(version, routes = emptyList(), services = emptyList()).right()
            },
            log = NoOpEventLog,
            onAccepted = { applied += decoded }
        )
        read.forEach { sink.replace(listOf(FeedRow("config", it))) }
        return applied
    }
}
