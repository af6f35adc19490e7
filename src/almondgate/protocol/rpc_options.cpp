#include "almondgate/protocol/rpc_options.hpp"

#include <algorithm>
#include <utility>

namespace almondgate::protocol {

// A snapshot of all jobs is the largest body; it passes with the reply to it.
static constexpr size_t BodiesPerShare = 2;

RpcOptions rpcOptions(std::string secret, const core::MemoryPlan &plan,
                      std::shared_ptr<task::DescriptorBudget> descriptors) {
  RpcOptions out;
  out.Secret = std::move(secret);
  out.MaxBodyBytes = std::min(out.MaxBodyBytes, plan.Peers * BodiesPerShare);
  out.MaxHeldBytes = plan.Peers / 2;
  out.Descriptors = std::move(descriptors);
  return out;
}

} // namespace almondgate::protocol
