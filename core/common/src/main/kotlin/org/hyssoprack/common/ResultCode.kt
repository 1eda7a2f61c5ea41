package org.hyssoprack.common

/**
 * Numbered result codes. The first digit gives the family: 1 done, 2 not run, 3 unknown or partly
 * run, 4 refused input (not run), 5 settings and operators' calls, 6 inside the system.
 *
 * @property number stable number, never reused for another meaning.
 * @property outcome whether the request of the caller has run.
 * @property httpStatus status of the HTTP answer that carries the code.
 * @property meaning one sentence for docs/RESULT-CODES.md.
 */
enum class ResultCode(
    val number: Int,
    val outcome: Outcome,
    val httpStatus: Int,
    val meaning: String
) {
    OK(1000, Outcome.DONE, 200, "The whole answer was delivered."),
    OK_RECORDED(1001, Outcome.DONE, 200, "The recorded answer of an earlier attempt was returned."),

    QUEUE_FULL(2000, Outcome.NOT_RUN, 503, "The waiting queue of the request's tier is full."),
    DEADLINE_UNREACHABLE(2001, Outcome.NOT_RUN, 503, "The answer cannot be complete in time."),
    DEADLINE_PASSED_WAITING(2002, Outcome.NOT_RUN, 504, "The deadline passed before dispatch."),
    NO_BACKEND_SERVER(2003, Outcome.NOT_RUN, 503, "No backend server can take the request now."),
    BACKEND_REFUSED(2004, Outcome.NOT_RUN, 503, "The connection failed before the first byte."),
    HOST_ISOLATED(2005, Outcome.NOT_RUN, 503, "The host may hold outdated settings."),
    HOST_STOPPING(2006, Outcome.NOT_RUN, 503, "The host is stopping and no peer took the request."),
    CLAIM_STORE_UNAVAILABLE(
        2007,
        Outcome.NOT_RUN,
        503,
        "The claim store did not confirm the claim."
    ),
    GIVEN_UP(2008, Outcome.NOT_RUN, 409, "Another host took over the request before dispatch."),
    CALLER_LEFT(2009, Outcome.NOT_RUN, 499, "The caller closed the connection before dispatch."),
    NO_SETTINGS(2010, Outcome.NOT_RUN, 503, "No settings bundle has been accepted yet."),
    QUOTA_EXCEEDED(2011, Outcome.NOT_RUN, 429, "The account's quota is used up for now."),
    SERVERS_LIMITED(2012, Outcome.NOT_RUN, 503, "All backend servers accept a limited rate only."),
    PROMPT_PART_BLOCKED(
        2013,
        Outcome.NOT_RUN,
        503,
        "A part of the prompt crashes backend servers."
    ),
    REQUEST_BLOCKED(2014, Outcome.NOT_RUN, 503, "The same request crashed backend servers before."),
    MEMORY_SHORT(2015, Outcome.NOT_RUN, 503, "The host holds too much for its callers."),
    MEMORY_EXCEEDED(2020, Outcome.NOT_RUN, 503, "The request exceeds every server's memory."),

    STREAM_BROKEN(3000, Outcome.UNKNOWN, 502, "The answer ended early and could not be resumed."),
    STREAM_SILENT(3001, Outcome.UNKNOWN, 504, "The backend server sent no data in time."),
    ANSWER_MISMATCHED(3002, Outcome.UNKNOWN, 502, "The answer carried another request's id."),
    PREEMPTED(3003, Outcome.UNKNOWN, 503, "The request was cancelled for a higher tier."),
    DEADLINE_PASSED_RUNNING(3004, Outcome.UNKNOWN, 504, "The deadline passed while it ran."),
    FIRST_ATTEMPT_UNKNOWN(3005, Outcome.UNKNOWN, 409, "An earlier attempt may have run."),
    CLAIMED_BY_OTHER(3006, Outcome.UNKNOWN, 409, "Another attempt has claimed this call."),
    BACKEND_FAILED(3007, Outcome.UNKNOWN, 502, "The backend server reported an error."),
    CALLER_LEFT_RUNNING(3008, Outcome.UNKNOWN, 499, "The caller disconnected after dispatch."),

    KEY_MISSING(4000, Outcome.NOT_RUN, 401, "No bearer key was sent."),
    KEY_UNKNOWN(4001, Outcome.NOT_RUN, 403, "The bearer key is not valid for this endpoint."),
    BODY_INVALID(4002, Outcome.NOT_RUN, 400, "The body does not have the expected format."),
    BODY_TOO_LARGE(4003, Outcome.NOT_RUN, 413, "The body is larger than the limit."),
    MODEL_UNKNOWN(4004, Outcome.NOT_RUN, 404, "No route serves this model for the account."),
    ROUTE_UNKNOWN(4005, Outcome.NOT_RUN, 404, "No route matches the request."),
    HEADER_MISSING(4006, Outcome.NOT_RUN, 400, "A required header is missing."),
    HEADER_INVALID(4007, Outcome.NOT_RUN, 400, "A header's value is not of the expected form."),
    REQUEST_INCOMPLETE(4008, Outcome.NOT_RUN, 408, "The request did not arrive in time."),
    PATH_UNKNOWN(4010, Outcome.NOT_RUN, 404, "The path does not exist."),
    HEADERS_TOO_LARGE(4012, Outcome.NOT_RUN, 431, "The request line or headers exceed the limit."),
    REQUEST_MALFORMED(4013, Outcome.NOT_RUN, 400, "The request is not valid HTTP/1.1."),
    TOO_MANY_LINES(4014, Outcome.NOT_RUN, 431, "The request has too many header or trailer lines."),
    KEY_REUSED(4011, Outcome.NOT_RUN, 422, "The idempotency key was used for another body."),

    SETTINGS_INVALID(5000, Outcome.NOT_RUN, 422, "A settings file or bundle has faults."),
    POLICY_SYNTAX(5001, Outcome.NOT_RUN, 422, "The policy text cannot be parsed."),
    POLICY_RULE(5002, Outcome.NOT_RUN, 422, "The policy breaks a rule of the language."),
    BUNDLE_CONFLICT(5003, Outcome.NOT_RUN, 409, "Another bundle was accepted meanwhile."),
    BUNDLE_UNKNOWN(5004, Outcome.NOT_RUN, 404, "No such bundle has been proposed."),
    SIGN_OFF_MISSING(5005, Outcome.NOT_RUN, 409, "A second operator has not signed off."),
    SIGN_OFF_SELF(5006, Outcome.NOT_RUN, 409, "The proposer cannot sign off its own bundle."),
    OUTCOME_UNDECIDED(5007, Outcome.UNKNOWN, 503, "Whether the change took effect is not known."),
    ORDER_REFUSED(5008, Outcome.NOT_RUN, 409, "The backend server refused the order."),
    LEASE_HELD(5009, Outcome.NOT_RUN, 409, "Another host holds the order lease."),

    STORE_UNAVAILABLE(6000, Outcome.NOT_RUN, 503, "The platform's store does not answer."),
    STORE_LIMITED(6001, Outcome.NOT_RUN, 429, "The platform's store limits the rate of calls."),
    HOST_UNREACHABLE(6002, Outcome.NOT_RUN, 503, "Another host could not be reached."),
    HISTORY_LOST(6004, Outcome.NOT_RUN, 410, "The store no longer has the changes asked for."),
    INTERNAL(6003, Outcome.UNKNOWN, 500, "A fault inside the system.")
    ;

    /** Name in JSON bodies and logs: lower case with hyphens. */
    val wireName: String = name.lowercase().replace('_', '-')

    companion object {
        private val byNumber = entries.associateBy { it.number }

        /** The code with this number, or null. */
        fun ofNumber(number: Int): ResultCode? = byNumber[number]
    }
}
