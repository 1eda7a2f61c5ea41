package org.hyssoprack.policy.syntax

/** One test of a `when` clause. */
internal sealed interface Test {
    /** The word that the test starts with. */
    val keyword: String

    data class Account(val names: List<Located<String>>) : Test {
        override val keyword get() = "account"
    }

    data class Model(val name: Located<String>) : Test {
        override val keyword get() = "model"
    }

    data class Service(val name: Located<String>) : Test {
        override val keyword get() = "service"
    }

    data class Method(val name: Located<String>) : Test {
        override val keyword get() = "method"
    }

    data class Path(val pattern: Located<String>) : Test {
        override val keyword get() = "path"
    }

    data class Lane(val name: Located<String>) : Test {
        override val keyword get() = "lane"
    }
}
