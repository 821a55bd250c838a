/**
 * @file rpc_names.h
 * Names of the JSON-RPC parameters that every method takes.
 */
#ifndef MONSOONCROFT_PEER_JSONRPC_RPC_NAMES_H
#define MONSOONCROFT_PEER_JSONRPC_RPC_NAMES_H

// C++14 has no nested namespace definitions.
// NOLINTNEXTLINE(modernize-concat-nested-namespaces)
namespace monsooncroft {
namespace peer {

constexpr const char* kMessageIdParam =
  "message_id"; ///< Unique id of the message.
constexpr const char* kBodyParam =
  "body"; ///< The method's parameters as a JSON text.

} // namespace peer
} // namespace monsooncroft

#endif
