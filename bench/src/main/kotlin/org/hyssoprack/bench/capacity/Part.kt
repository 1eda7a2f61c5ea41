package org.hyssoprack.bench.capacity

/** One part of the measurement. */
internal enum class Part(val wireName: String) {
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

        fun names(): String = entries.joinToString { it.wireName }

        private fun sizes(largest: Int): List<Int> = MEMBER_SHARES.map { largest / it }
    }
}
