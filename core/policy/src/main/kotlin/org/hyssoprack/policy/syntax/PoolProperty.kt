package org.hyssoprack.policy.syntax

import java.math.BigDecimal
import org.hyssoprack.policy.QueueRule
import org.hyssoprack.policy.RoutingRule

/** One line of a pool's block. Durations are in milliseconds, shares in percent. */
internal sealed interface PoolProperty {
    /** The keyword at the start of the line. */
    val keyword: String

    data class Engines(val model: Located<String>) : PoolProperty {
        override val keyword get() = "engines"
    }

    data class Service(val service: Located<String>) : PoolProperty {
        override val keyword get() = "service"
    }

    data class FirstToken(val ms: Located<Long>) : PoolProperty {
        override val keyword get() = "first-token"
    }

    data class BetweenTokens(val ms: Located<Long>) : PoolProperty {
        override val keyword get() = "between-tokens"
    }

    data class Headroom(val tier: Located<String>, val percent: Located<BigDecimal>) :
        PoolProperty {
        override val keyword get() = "headroom"
    }

    data class PreemptAfter(val ms: Located<Long>) : PoolProperty {
        override val keyword get() = "preempt"
    }

    data class Queue(val limit: Located<Long>) : PoolProperty {
        override val keyword get() = "queue"
    }

    data class LongShare(val percent: Located<BigDecimal>) : PoolProperty {
        override val keyword get() = "long-share"
    }

    data class Routing(val rule: RoutingRule) : PoolProperty {
        override val keyword get() = "routing"
    }

    data class Queueing(val rule: QueueRule) : PoolProperty {
        override val keyword get() = "queueing"
    }
}
