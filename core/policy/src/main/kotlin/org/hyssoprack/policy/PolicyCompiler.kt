package org.hyssoprack.policy

import arrow.core.EitherNel

/** Compiles the text of a policy. */
interface PolicyCompiler {
    /** The compiled policy, or every fault found, in the order of the text. */
    fun compile(text: String): EitherNel<PolicyFault, CompiledPolicy>
}
