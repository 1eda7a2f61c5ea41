package org.hyssoprack.membership

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Serializes a [MemberState] as an integer code. */
internal object MemberStateCode : KSerializer<MemberState> {
    private val CODES = mapOf(
        MemberState.ALIVE to 0,
        MemberState.SUSPECT to 1,
        MemberState.LEAVING to 2,
        MemberState.DEAD to 3
    )
    private val STATES = CODES.entries.associate { it.value to it.key }

    override val descriptor: SerialDescriptor =
        PrimitiveSerialDescriptor("MemberStateCode", PrimitiveKind.INT)

    override fun serialize(encoder: Encoder, value: MemberState) =
        encoder.encodeInt(CODES.getValue(value))

    override fun deserialize(decoder: Decoder): MemberState {
        val code = decoder.decodeInt()
        return STATES[code]
            ?: throw SerializationException("expected member state in ${STATES.keys}, found $code")
    }
}
