/**
 * @file relay_fields_type.h
 * Fields of queries that instances hand to roots, and of their answers.
 */
#ifndef MONSOONCROFT_GATEWAY_RELAY_FIELDS_TYPE_H
#define MONSOONCROFT_GATEWAY_RELAY_FIELDS_TYPE_H

namespace monsooncroft::gateway::relay_fields {

/** Version of the configuration that the sender has in force. */
constexpr const char* kConfigVersion = "Relay-Config";
/** Time until the sender needs an answer that may be partial, in us. */
constexpr const char* kAnswerWithinUs = "Relay-Answer-Within";
/** Present if another instance may have executed the query. */
constexpr const char* kResent = "Relay-Resent";
/** Name of the caller's workspace. */
constexpr const char* kWorkspace = "Relay-Workspace";
/** Attempts at each shard: with a query, how many the root may make; in an
 * interim answer, how many more it asks for; in a grant, how many more it may
 * make, perhaps none. */
constexpr const char* kAttempts = "Relay-Attempts";
/** With a query: further attempts that the root may ask for. */
constexpr const char* kReserved = "Relay-Attempts-Reserved";
/** Present in a grant, which is sent behind the query and not answered: id of
 * the query's request. */
constexpr const char* kGrant = "Relay-Grant";
/** All fields between instances begin with this. */
constexpr const char* kPrefix = "Relay-";
/** Reason for which a root has not executed a query. */
constexpr const char* kRefused = "Relay-Refused";
/** Value of that field: the root executes too many queries. */
constexpr const char* kOverloaded = "overloaded";

} // namespace monsooncroft::gateway::relay_fields

#endif
