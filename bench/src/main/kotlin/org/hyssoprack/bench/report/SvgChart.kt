package org.hyssoprack.bench.report

import java.util.Locale
import org.hyssoprack.bench.load.RequestOutcome

/** Renders the outcomes by variant and tier as stacked bars in a self-contained SVG image. */
object SvgChart {
    private const val BAR_WIDTH = 420
    private const val BAR_HEIGHT = 16
    private const val ROW_HEIGHT = 22
    private const val LEFT = 260
    private const val TOP = 60
    private const val RIGHT = 280
    private const val LEGEND_STEP = 80
    private val COLOURS = mapOf(
        RequestOutcome.GOOD to "#2e7d32",
        RequestOutcome.LATE to "#f9a825",
        RequestOutcome.SHED to "#90a4ae",
        RequestOutcome.BROKEN to "#c62828",
        RequestOutcome.UNKNOWN to "#6a1b9a",
        RequestOutcome.WRONG to "#000000"
    )

    /** Returns the image as SVG text. */
    fun of(report: ExperimentReport): String {
        val rows = report.variants.flatMap { variant -> variant.tiers.map { variant to it } }
        val height = TOP + rows.size * ROW_HEIGHT + ROW_HEIGHT
        val width = LEFT + BAR_WIDTH + RIGHT
        val bars = rows.mapIndexed { index, (variant, tier) ->
            row(y = TOP + index * ROW_HEIGHT, variant = variant, tier = tier)
        }
        return """<svg xmlns="http://www.w3.org/2000/svg" width="$width" height="$height" """ +
            """font-family="sans-serif" font-size="12">""" +
            """<rect width="$width" height="$height" fill="#ffffff"/>""" +
            text(x = 10, y = 20, content = title(report)) +
            legend() + bars.joinToString("") + "</svg>\n"
    }

    private fun title(report: ExperimentReport) = String.format(
        Locale.ROOT,
        "%s, load %.2f, share of offered requests by outcome",
        report.experiment,
        report.load
    )

    private fun legend(): String = COLOURS.entries.withIndex().joinToString("") { (index, entry) ->
        val x = LEFT + index * LEGEND_STEP
        """<rect x="$x" y="34" width="10" height="10" fill="${entry.value}"/>""" +
            text(x = x + 14, y = 43, content = entry.key.name.lowercase())
    }

    private fun row(y: Int, variant: VariantReport, tier: TierReport): String {
        val label = text(x = 10, y = y + 12, content = "${variant.variant} / ${tier.tier}")
        val figures = String.format(
            Locale.ROOT,
            "good %.1f%%, first token p99 %.0f ms",
            tier.goodShare * 100,
            tier.firstToken.p99
        )
        val note = text(x = LEFT + BAR_WIDTH + 8, y = y + 12, content = figures)
        return label + bar(y, tier) + note
    }

    private fun bar(y: Int, tier: TierReport): String {
        var x = LEFT.toDouble()
        return COLOURS.entries.joinToString("") { (outcome, colour) ->
            val count = tier.outcomes[outcome] ?: 0
            val width = BAR_WIDTH * count.toDouble() / maxOf(1, tier.offered)
            val rect = String.format(
                Locale.ROOT,
                """<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"/>""",
                x,
                y,
                width,
                BAR_HEIGHT,
                colour
            )
            x += width
            if (count == 0) "" else rect
        }
    }

    private fun text(x: Int, y: Int, content: String): String {
        val escaped = content.replace("&", "&amp;").replace("<", "&lt;")
        return """<text x="$x" y="$y">$escaped</text>"""
    }
}
