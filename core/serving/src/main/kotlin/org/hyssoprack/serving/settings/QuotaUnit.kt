package org.hyssoprack.serving.settings

/** Unit of an account's quota. */
enum class QuotaUnit { REQUESTS, TOKENS }
