package org.hyssoprack.burn

import java.time.Instant
import java.time.temporal.ChronoUnit
import java.util.Locale

/** Writes a [BurnReport] as plain text. */
object TextReport {
    private const val PERCENT = 100.0

    /** Returns [report] as text, with a line break after each line. */
    fun write(report: BurnReport): String = buildString {
        val time = Instant.ofEpochMilli(report.takenAtMs).truncatedTo(ChronoUnit.SECONDS)
        appendLine("Service-level burn at $time, ${report.hosts.size} hosts")
        if (report.missing.isNotEmpty()) {
            appendLine("NOT COUNTED, no answer from: ${report.missing.joinToString(", ")}")
        }
        appendLine()
        appendLine("A rate of 1.0 uses up the error budget exactly.")
        appendLine()
        append(tiers(report).text())
        if (report.accounts.isEmpty()) return@buildString
        appendLine()
        appendLine("Accounts that missed their objective most in the last hour")
        appendLine()
        append(accounts(report).text())
    }

    private fun tiers(report: BurnReport): TextTable {
        val head = listOf("tier", "objective", "status") +
            BurnWindow.entries.map { "burn ${it.label}" } +
            listOf("requests 1 h", "in time", "late", "shed", "broken", "unknown", "main cause")
        return TextTable(head, report.tiers.map { tier(it) })
    }

    private fun tier(tier: TierBurn): List<String> {
        val middle = tier.windows.first { it.window == BurnWindow.MIDDLE }
        return listOf(tier.tier.value, percent(tier.objective), tier.status.label) +
            tier.windows.map { number(it.rate) } +
            counts(middle)
    }

    private fun accounts(report: BurnReport): TextTable {
        val head = listOf("tier", "account", "burn 1 h", "requests 1 h", "in time") +
            listOf("late", "shed", "broken", "unknown", "main cause")
        val rows = report.accounts.map {
            listOf(it.tier.value, it.account.value, number(it.burn.rate)) + counts(it.burn)
        }
        return TextTable(head, rows)
    }

    private fun counts(burn: WindowBurn): List<String> {
        val counts = burn.counts
        val inTime = if (counts.total == 0L) "-" else percent(1 - counts.missedShare)
        return listOf(counts.total.toString(), inTime) +
            SloOutcomeCounts.CAUSES.map { counts.of(it).toString() } +
            (burn.mainCause ?: "-")
    }

    private fun percent(share: Double) = String.format(Locale.ROOT, "%.2f%%", share * PERCENT)

    private fun number(rate: Double) = String.format(Locale.ROOT, "%.1f", rate)
}
