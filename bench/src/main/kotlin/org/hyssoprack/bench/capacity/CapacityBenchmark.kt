package org.hyssoprack.bench.capacity

/** One group of capacity measurements, selected with `--only`. */
internal enum class CapacityBenchmark(val optionValue: String) {
    MEMBERS("members") {
        override fun measure(largest: Int) = MemberCapacity(sizes(largest)).measure()
    },
    OWNERSHIP("ownership") {
        override fun measure(largest: Int) = OwnershipCapacity().measure()
    },
    LINKS("links") {
        override fun measure(largest: Int) = LinkCapacity().measure()
    },
    SLOTS("slots") {
        override fun measure(largest: Int) = SlotCapacity().measure()
    },
    POLLS("polls") {
        override fun measure(largest: Int) = PollCapacity().measure()
    },
    BUNDLES("bundles") {
        override fun measure(largest: Int) = BundleCapacity().measure()
    }
    ;

    abstract fun measure(largest: Int): CapacityReport

    companion object {
        private val MEMBER_SHARES = listOf(12, 6, 4, 2, 1)

        fun optionValues(): String = entries.joinToString { it.optionValue }

        private fun sizes(largest: Int): List<Int> = MEMBER_SHARES.map { largest / it }
    }
}
