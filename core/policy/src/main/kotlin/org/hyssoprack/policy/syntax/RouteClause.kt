package org.hyssoprack.policy.syntax

/** One line of a route's block. Durations are in milliseconds. */
internal sealed interface RouteClause {
    /** The keyword at the start of the line. */
    val keyword: String

    data class When(val predicates: List<Located<Predicate>>) : RouteClause {
        override val keyword get() = "when"
    }

    data class Tier(val name: Located<String>) : RouteClause {
        override val keyword get() = "tier"
    }

    data class Pool(val name: Located<String>) : RouteClause {
        override val keyword get() = "pool"
    }

    data class Deadline(val ms: Located<Long>) : RouteClause {
        override val keyword get() = "deadline"
    }

    data object Once : RouteClause {
        override val keyword get() = "once"
    }
}
