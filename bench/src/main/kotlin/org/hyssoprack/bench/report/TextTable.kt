package org.hyssoprack.bench.report

import java.util.Locale
import org.hyssoprack.bench.load.RequestOutcome

/** Formats the results of an experiment as a text table, with ratios to the first variant. */
object TextTable {
    private const val PERCENT = 100
    private val HEAD = listOf(
        "variant", "tier", "offered", "good", "good%", "ratio", "late", "shed", "broken",
        "unknown", "wrong", "first p50", "first p99", "ratio", "token p50", "token p99"
    )

    /** Returns the table as text. */
    fun of(report: ExperimentReport): String {
        val rows = report.variants.flatMap { variant ->
            variant.tiers.map { row(variant, it, report.variants.first()) }
        }
        return listOf(title(report), aligned(listOf(HEAD) + rows), totals(report))
            .joinToString("\n")
    }

    private fun title(report: ExperimentReport): String = String.format(
        Locale.ROOT,
        "%s (seed %d): offered %.2f of a capacity of %.1f requests/s, %.0f tokens/s; %d s counted",
        report.experiment,
        report.seed,
        report.load,
        report.capacityRequestsPerS,
        report.capacityTokensPerS,
        report.countedS
    )

    private fun row(variant: VariantReport, tier: TierReport, base: VariantReport): List<String> {
        val baseTier = base.tier(tier.tier)
        return listOf(
            variant.variant,
            tier.tier,
            tier.offered.toString(),
            tier.good.toString(),
            number(tier.goodShare * PERCENT),
            ratio(tier.goodShare, baseTier?.goodShare),
            count(tier, RequestOutcome.LATE),
            count(tier, RequestOutcome.SHED),
            count(tier, RequestOutcome.BROKEN),
            count(tier, RequestOutcome.UNKNOWN),
            count(tier, RequestOutcome.WRONG),
            number(tier.firstToken.p50),
            number(tier.firstToken.p99),
            ratio(tier.firstToken.p99, baseTier?.firstToken?.p99),
            number(tier.betweenTokens.p50),
            number(tier.betweenTokens.p99)
        )
    }

    private fun totals(report: ExperimentReport): String =
        report.variants.joinToString("\n") { variant ->
            val causes = variant.prefill.wasted.entries.joinToString { "${it.key} ${it.value}" }
            "${variant.variant}: served ${percent(variant.servedShare)} of the capacity in good " +
                "answers; thrown-away prefill ${percent(variant.prefill.thrownAwayShare)}, with " +
                "repeated prefixes ${percent(variant.prefill.wastedShare)} of " +
                "${variant.prefill.total} tokens ($causes); inversions ${variant.inversions}, " +
                "sustained ${variant.sustainedInversions}; run twice ${variant.runTwice}; " +
                "CPU ms of hosts ${variant.hostCpuMs.values.joinToString("/")}"
        }

    private fun aligned(rows: List<List<String>>): String {
        val widths = rows.first().indices.map { column -> rows.maxOf { it[column].length } }
        return rows.joinToString("\n") { row ->
            row.withIndex().joinToString("  ") { (column, cell) ->
                if (column < 2) cell.padEnd(widths[column]) else cell.padStart(widths[column])
            }
        }
    }

    private fun count(tier: TierReport, outcome: RequestOutcome): String =
        (tier.outcomes[outcome] ?: 0).toString()

    private fun ratio(value: Double, base: Double?): String {
        if (base == null || base == 0.0) return "-"
        return String.format(Locale.ROOT, "%.2f", value / base)
    }

    private fun number(value: Double): String = String.format(Locale.ROOT, "%.1f", value)

    private fun percent(share: Double): String =
        String.format(Locale.ROOT, "%.2f%%", share * PERCENT)
}
