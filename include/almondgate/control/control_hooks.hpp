#ifndef ALMONDGATE_CONTROL_CONTROL_HOOKS_HPP
#define ALMONDGATE_CONTROL_CONTROL_HOOKS_HPP

#include "almondgate/consensus/effects.hpp"
#include "almondgate/consensus/node_hooks.hpp"
#include "almondgate/core/result.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/observe/log.hpp"
#include "almondgate/state/state.hpp"

#include <functional>

namespace almondgate::control {

/// What the core asks of the world around it.
struct ControlHooks {
  consensus::NodeHooks Node;
  std::function<int64_t()> WallClock;
  std::function<void(const consensus::Message &)> Send;
  /// Makes a batch durable, then calls onPersisted(); one at a time.
  std::function<void(consensus::DurableBatch)> Persist;
  /// Asks the process at an address for its member id.
  std::function<void(const core::Address &,
                     std::function<void(core::Result<consensus::MemberId>)>)>
      FetchIdentity;
  std::function<std::string(const state::Change &)> EncodeChange;
  std::function<core::Result<state::Change>(const std::string &)> DecodeChange;
  std::function<std::string(const state::State &)> EncodeState;
  std::function<core::Result<state::State>(const std::string &)> DecodeState;
  /// An event has been applied to the job ledger.
  std::function<void(const jobs::Event &)> OnJobEvent;
  /// The member leads from now on, or no longer.
  std::function<void(bool leads)> OnLeadershipChange;
  observe::LogLine Log;
};

} // namespace almondgate::control

#endif
