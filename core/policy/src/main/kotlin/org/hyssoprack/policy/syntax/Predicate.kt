package org.hyssoprack.policy.syntax

/** One predicate of a `when` clause. */
internal sealed interface Predicate {
    /** The keyword at the start of the predicate. */
    val keyword: String

    data class Account(val names: List<Located<String>>) : Predicate {
        override val keyword get() = "account"
    }

    data class Model(val name: Located<String>) : Predicate {
        override val keyword get() = "model"
    }

    data class Service(val name: Located<String>) : Predicate {
        override val keyword get() = "service"
    }

    data class Method(val name: Located<String>) : Predicate {
        override val keyword get() = "method"
    }

    data class Path(val pattern: Located<String>) : Predicate {
        override val keyword get() = "path"
    }

    data class Lane(val name: Located<String>) : Predicate {
        override val keyword get() = "lane"
    }
}
