#ifndef ALMONDGATE_PROTOCOL_RPC_OPTIONS_HPP
#define ALMONDGATE_PROTOCOL_RPC_OPTIONS_HPP

#include "almondgate/core/memory_plan.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace almondgate::task {
class DescriptorBudget;
} // namespace almondgate::task

namespace almondgate::protocol {

/// Settings of clients and servers of the inner protocol.
struct RpcOptions {
  /// Shared secret, known to every process of the cluster and to no other.
  std::string Secret;
  /// Maximum size of the body of a call or a reply.
  size_t MaxBodyBytes = 64u << 20;
  /// Limit of the bytes that all peers together make a client or a server hold.
  /// A single body may exceed it.
  size_t MaxHeldBytes = core::planMemory(0).Peers / 2;
  /// Counts the connections of the process; null if they are not counted.
  std::shared_ptr<task::DescriptorBudget> Descriptors = nullptr;

  bool operator==(const RpcOptions &) const = default;
};

/// Returns the options of a process that has one client and one server.
RpcOptions
rpcOptions(std::string secret, const core::MemoryPlan &plan,
           std::shared_ptr<task::DescriptorBudget> descriptors = nullptr);

} // namespace almondgate::protocol

#endif
