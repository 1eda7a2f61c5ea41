package org.hyssoprack.policy

import arrow.core.EitherNel

/** Compiles the text of a policy. */
interface PolicyCompiler {
    /** Returns the compiled policy, or the faults found, in the order of the text. */
    fun compile(text: String): EitherNel<PolicyFault, CompiledPolicy>
}
