package org.hyssoprack.store

import kotlinx.serialization.Serializable

/** What a backend server runs. */
@Serializable
enum class BackendServerKind { ENGINE, SERVICE }
