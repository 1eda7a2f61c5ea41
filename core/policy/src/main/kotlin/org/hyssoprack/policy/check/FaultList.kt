package org.hyssoprack.policy.check

import org.hyssoprack.policy.PolicyFault
import org.hyssoprack.policy.syntax.Located
import org.hyssoprack.policy.syntax.Position
import org.hyssoprack.policy.syntax.ruleFault

/** Collects the rule violations of one policy. */
internal class FaultList {
    val faults = mutableListOf<PolicyFault>()

    fun add(at: Position, detail: String) {
        faults += ruleFault(at, detail)
    }

    /** Reports each repeated name in [names]; [kind] is what they name, such as `tier`. */
    fun reportDuplicates(names: List<Located<String>>, kind: String) {
        val first = HashMap<String, Position>()
        for (name in names) {
            val earlier = first.putIfAbsent(name.value, name.at) ?: continue
            add(name.at, "$kind '${name.value}' is already declared in line ${earlier.line}")
        }
    }

    /** Reports [name] if it is not in [known]; [kind] is what it names, such as `tier`. */
    fun reportUnknown(name: Located<String>, known: Collection<String>, kind: String) {
        if (name.value in known) return
        val hint = Suggestion.hint(name.value, known)
        add(name.at, "there is no $kind '${name.value}'$hint")
    }

    /** Reports [value] if it is outside [range]; [rangeText] describes the range. */
    fun <T : Comparable<T>> checkRange(
        value: Located<T>,
        range: ClosedRange<T>,
        rangeText: String
    ) {
        if (value.value !in range) add(value.at, "the value must be $rangeText")
    }
}
