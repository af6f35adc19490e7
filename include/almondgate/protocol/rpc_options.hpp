#ifndef ALMONDGATE_PROTOCOL_RPC_OPTIONS_HPP
#define ALMONDGATE_PROTOCOL_RPC_OPTIONS_HPP

#include <cstddef>
#include <string>

namespace almondgate::protocol {

/// Settings of clients and servers of the inner protocol.
struct RpcOptions {
  /// Shared secret, known to every process of the cluster and to no other.
  std::string Secret;
  /// Maximum size of the body of a call or a reply.
  size_t MaxBodyBytes = 64u << 20;

  bool operator==(const RpcOptions &) const = default;
};

} // namespace almondgate::protocol

#endif
