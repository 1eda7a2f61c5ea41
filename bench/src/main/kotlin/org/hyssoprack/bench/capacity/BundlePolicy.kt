package org.hyssoprack.bench.capacity

/** Generates a policy of four tiers and six models for many client accounts. */
internal object BundlePolicy {
    private const val TIERS = 4
    private const val MODELS = 6

    /** Returns the policy text for [accounts]. */
    fun text(accounts: List<String>): String = buildString {
        repeat(TIERS) { appendLine("tier tier-$it objective 99%") }
        accounts.forEach { appendLine("account $it") }
        repeat(MODELS) { append(pool(it)) }
        repeat(MODELS) { append(route(it, accounts)) }
    }

    private fun pool(index: Int): String = """
        |pool pool-$index {
        |  engines model "model-$index"
        |  queue 500
        |}
        |
    """.trimMargin()

    private fun route(index: Int, accounts: List<String>): String {
        val own = accounts.filterIndexed { position, _ -> position % MODELS == index }
        return """
            |route route-$index {
            |  when account in (${own.joinToString(", ")}) and lane "lane-$index"
            |  tier tier-${index % TIERS}
            |  pool pool-$index
            |  deadline 30 s
            |}
            |
        """.trimMargin()
    }
}
