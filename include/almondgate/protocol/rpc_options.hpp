#ifndef ALMONDGATE_PROTOCOL_RPC_OPTIONS_HPP
#define ALMONDGATE_PROTOCOL_RPC_OPTIONS_HPP

#include <cstddef>
#include <string>

namespace almondgate::protocol {

/// Settings of both ends of the inner protocol.
struct RpcOptions {
  /// Known to every process of the cluster and to no other.
  std::string Secret;
  /// Largest body of a call or its answer.
  size_t MaxBodyBytes = 64u << 20;

  bool operator==(const RpcOptions &) const = default;
};

} // namespace almondgate::protocol

#endif
