package org.hyssoprack.link.tcp

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.modules.SerializersModule
import kotlinx.serialization.modules.polymorphic
import kotlinx.serialization.modules.subclass
import org.hyssoprack.common.HostMessage

@Serializable
@SerialName("n")
internal data class Note(val number: Int, val text: String = "") : HostMessage

@Serializable
@SerialName("o")
internal data class OtherNote(val number: Int) : HostMessage

@Serializable
@SerialName("m")
internal data class NewNote(val number: Int) : HostMessage {
    override val sinceRevision: Int get() = Hello.REVISION
}

internal val notes = SerializersModule {
    polymorphic(HostMessage::class) {
        subclass(Note::class)
        subclass(NewNote::class)
    }
}

internal val otherNotes = SerializersModule {
    polymorphic(HostMessage::class) { subclass(OtherNote::class) }
}
