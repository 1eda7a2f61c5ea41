package org.hyssoprack.policy.check

import org.hyssoprack.policy.PolicyFault
import org.hyssoprack.policy.syntax.Located
import org.hyssoprack.policy.syntax.Position
import org.hyssoprack.policy.syntax.ruleFault

/** Collects the broken rules of one policy. */
internal class FaultList {
    val faults = mutableListOf<PolicyFault>()

    fun add(at: Position, detail: String) {
        faults += ruleFault(at, detail)
    }

    /** Reports names that occur a second time among [names]; [what] says what they name. */
    fun doubled(names: List<Located<String>>, what: String) {
        val first = HashMap<String, Position>()
        for (name in names) {
            val earlier = first.putIfAbsent(name.value, name.at) ?: continue
            add(name.at, "$what '${name.value}' was declared in line ${earlier.line} already")
        }
    }

    /** Reports [name] if [known] lacks it. */
    fun unknown(name: Located<String>, known: Collection<String>, what: String) {
        if (name.value in known) return
        val hint = Suggestion.hint(name.value, known)
        add(name.at, "there is no $what '${name.value}'$hint")
    }

    /** Reports [value] if it is outside of [range]; [shown] describes the range. */
    fun <T : Comparable<T>> range(value: Located<T>, range: ClosedRange<T>, shown: String) {
        if (value.value !in range) add(value.at, "the value must be $shown")
    }
}
