package org.hyssoprack.burn

import java.time.Instant
import java.util.Locale

/** Renders a [BurnReport] as one self-contained HTML page. */
object HtmlReport {
    private const val PERCENT = 100.0
    private const val BAR_FULL_RATE = 20.0

    private val STYLE = """
        body { font: 15px sans-serif; margin: 2em; color: #222; max-width: 1300px; }
        table { border-collapse: collapse; margin: 1em 0; }
        td, th { padding: 4px 10px; border-bottom: 1px solid #ddd; text-align: right; }
        td:first-child, th:first-child { text-align: left; }
        section { border-left: 8px solid #3a8f4f; padding-left: 1em; margin: 2em 0; }
        section.slow_burn { border-color: #e0a000; }
        section.fast_burn { border-color: #c62828; }
        .status { font-weight: bold; }
        .missing { color: #c62828; font-weight: bold; }
        .plots { display: flex; gap: 1em; flex-wrap: wrap; }
        figure { margin: 0; width: 600px; }
        svg text { font-size: 12px; fill: #555; }
        .back { fill: #f4f4f4; }
        .done { fill: #9ccc9c; background: #9ccc9c; }
        .late { fill: #e0a000; background: #e0a000; }
        .shed { fill: #c62828; background: #c62828; }
        .broken { fill: #7b1fa2; background: #7b1fa2; }
        .unknown { fill: #424242; background: #424242; }
        .key { display: inline-block; width: 1em; height: 1em; margin: 0 4px 0 14px; }
        .rate { display: inline-block; height: 0.8em; background: #c62828; margin-right: 6px; }
    """.trimIndent()

    /** Returns the HTML text of the page for [report]. */
    fun write(report: BurnReport): String = buildString {
        appendLine("<!DOCTYPE html>")
        appendLine("<html lang=\"en\"><head><meta charset=\"utf-8\">")
        appendLine("<title>Service-level burn</title><style>")
        appendLine(STYLE)
        appendLine("</style></head><body>")
        appendLine(head(report))
        for (tier in report.tiers) appendLine(tier(tier, report))
        appendLine(accounts(report))
        appendLine("</body></html>")
    }

    private fun head(report: BurnReport): String = buildString {
        val time = Instant.ofEpochMilli(report.takenAtMs)
        append("<h1>Service-level burn</h1><p>$time, ${report.hosts.size} hosts: ")
        append(Html.escape(report.hosts.joinToString(", ")))
        append("</p>")
        if (report.missing.isNotEmpty()) {
            val names = Html.escape(report.missing.joinToString(", "))
            append("<p class=\"missing\">Not counted, no answer from: $names</p>")
        }
        append("<p>A rate of 1 uses up the error budget exactly. ")
        for (outcome in SloOutcome.entries.filter { it.isCounted }) {
            append("<span class=\"key ${outcome.name.lowercase()}\"></span>${outcome.label}")
        }
        append("</p>")
    }

    private fun tier(tier: TierBurn, report: BurnReport): String = buildString {
        append("<section class=\"${tier.status.name.lowercase()}\">")
        append("<h2>${Html.escape(tier.tier.value)}: ")
        append("<span class=\"status\">${tier.status.label}</span></h2>")
        append("<p>Objective ${percent(tier.objective)} in time. ${reason(tier)}</p>")
        append("<table><tr><th>window</th><th>burn rate</th><th>requests</th><th>in time</th>")
        for (cause in SloOutcomeCounts.CAUSES) append("<th>${cause.label}</th>")
        append("</tr>")
        for (window in tier.windows) append(window(window))
        append("</table>")
        append(plots(tier, report))
        append("</section>")
    }

    private fun reason(tier: TierBurn): String {
        val worst = tier.windows.filter { it.mainCause != null }.maxByOrNull { it.rate }
            ?: return "Nothing missed it."
        val count = SloOutcomeCounts.CAUSES.first { it.label == worst.mainCause }
            .let { worst.counts.of(it) }
        return "Most misses in the last ${worst.window.label} were <b>${worst.mainCause}</b>: " +
            "$count of ${worst.counts.missed}."
    }

    private fun window(burn: WindowBurn): String = buildString {
        val width = (burn.rate / BAR_FULL_RATE).coerceAtMost(1.0) * PERCENT
        append("<tr><td>${burn.window.label}</td><td>")
        append("<span class=\"rate\" style=\"width:${number(width)}px\"></span>")
        append("${number(burn.rate)}</td>")
        append(counts(burn))
        append("</tr>")
    }

    private fun counts(burn: WindowBurn): String = buildString {
        val counts = burn.counts
        val inTime = if (counts.total == 0L) "-" else percent(1 - counts.missedShare)
        append("<td>${counts.total}</td><td>$inTime</td>")
        for (cause in SloOutcomeCounts.CAUSES) append("<td>${counts.of(cause)}</td>")
    }

    private fun plots(tier: TierBurn, report: BurnReport): String {
        val points = report.points.filter { it.tier == tier.tier }
        val lengths = report.points.map { it.lengthMs }.distinct().sorted()
        val long = plot(BurnWindow.LONG, points.filter { it.lengthMs == lengths.last() }, report)
        val short = plot(BurnWindow.SHORT, points.filter { it.lengthMs == lengths.first() }, report)
        return "<div class=\"plots\">$long$short</div>"
    }

    private fun plot(window: BurnWindow, points: List<BurnPoint>, report: BurnReport): String {
        val fromMs = report.takenAtMs - window.lengthMs
        val svg = OutcomePlot(fromMs = fromMs, toMs = report.takenAtMs).svg(points)
        return "<figure><figcaption>Last ${window.label}</figcaption>$svg</figure>"
    }

    private fun accounts(report: BurnReport): String = buildString {
        if (report.accounts.isEmpty()) return@buildString
        append("<h2>Accounts that missed their objective most in the last hour</h2>")
        append("<table><tr><th>account</th><th>tier</th><th>burn rate</th><th>requests</th>")
        append("<th>in time</th>")
        for (cause in SloOutcomeCounts.CAUSES) append("<th>${cause.label}</th>")
        append("</tr>")
        for (row in report.accounts) {
            append("<tr><td>${Html.escape(row.account.value)}</td>")
            append("<td>${Html.escape(row.tier.value)}</td><td>${number(row.burn.rate)}</td>")
            append(counts(row.burn))
            append("</tr>")
        }
        append("</table>")
    }

    private fun percent(share: Double) = String.format(Locale.ROOT, "%.2f%%", share * PERCENT)

    private fun number(value: Double) = String.format(Locale.ROOT, "%.1f", value)
}
