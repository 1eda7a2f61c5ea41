package org.hyssoprack.burn

import java.time.Instant
import java.util.Locale

/** Draws the outcomes of one tier over time as stacked bars in inline SVG. */
internal class OutcomePlot(private val fromMs: Long, private val toMs: Long) {
    /** Returns the plot of [points], which must be of one tier and one length. */
    fun svg(points: List<BurnPoint>): String {
        val most = points.maxOfOrNull { it.counts.total }?.coerceAtLeast(1) ?: 1
        return buildString {
            append("<svg viewBox=\"0 0 $WIDTH $HEIGHT\" role=\"img\">")
            append(
                "<rect x=\"0\" y=\"0\" width=\"$WIDTH\" height=\"$PLOT_HEIGHT\" class=\"back\"/>"
            )
            for (point in points) append(bar(point, most))
            append(label(x = 0, anchor = "start", text = time(fromMs)))
            append(label(x = WIDTH, anchor = "end", text = time(toMs)))
            append(label(x = WIDTH / 2, anchor = "middle", text = "highest bar: $most requests"))
            append("</svg>")
        }
    }

    private fun bar(point: BurnPoint, most: Long): String {
        val scale = WIDTH.toDouble() / (toMs - fromMs)
        val left = (point.startMs - fromMs) * scale
        val width = maxOf(MIN_BAR_WIDTH, point.lengthMs * scale - BAR_GAP)
        var bottom = PLOT_HEIGHT.toDouble()
        return SloOutcome.entries.filter { it.isCounted }.joinToString("") { outcome ->
            val height = point.counts.of(outcome) * PLOT_HEIGHT.toDouble() / most
            bottom -= height
            if (height == 0.0) "" else rect(left, bottom, width, height, outcome)
        }
    }

    private fun rect(x: Double, y: Double, width: Double, height: Double, outcome: SloOutcome) =
        "<rect x=\"${number(x)}\" y=\"${number(y)}\" width=\"${number(width)}\" " +
            "height=\"${number(height)}\" class=\"${outcome.name.lowercase()}\"/>"

    private fun label(x: Int, anchor: String, text: String) =
        "<text x=\"$x\" y=\"$LABEL_Y\" text-anchor=\"$anchor\">${Html.escape(text)}</text>"

    private fun time(ms: Long): String = Instant.ofEpochMilli(ms).toString().substring(TIME_OF_DAY)

    private fun number(value: Double) = String.format(Locale.ROOT, "%.2f", value)

    private companion object {
        const val WIDTH = 600
        const val PLOT_HEIGHT = 120
        const val HEIGHT = 140
        const val LABEL_Y = 135
        const val BAR_GAP = 0.5
        const val MIN_BAR_WIDTH = 1.0
        val TIME_OF_DAY = 11..15
    }
}
