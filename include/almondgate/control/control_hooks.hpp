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

/// Input, output and clocks of a ControlCore.
struct ControlHooks {
  consensus::NodeHooks Node;
  /// Returns the wall-clock time in milliseconds.
  std::function<int64_t()> WallClock;
  std::function<void(consensus::Message)> Send;
  /// Makes a batch durable, then calls ControlCore::onPersisted(). At most one
  /// batch is in flight.
  std::function<void(consensus::DurableBatch)> Persist;
  /// Fetches the member id of the process at an address.
  std::function<void(const core::Address &,
                     std::function<void(core::Result<consensus::MemberId>)>)>
      FetchIdentity;
  std::function<std::string(const state::Change &)> EncodeChange;
  std::function<core::Result<state::Change>(const std::string &)> DecodeChange;
  std::function<std::string(const state::State &)> EncodeState;
  std::function<core::Result<state::State>(const std::string &)> DecodeState;
  /// Called after an event has been applied to the job ledger.
  std::function<void(const jobs::Event &)> OnJobEvent;
  /// Called after a snapshot of another member has replaced the job ledger.
  std::function<void()> OnJobsReplaced;
  /// Called when the member becomes the leader (true) or stops being it.
  std::function<void(bool leading)> OnLeadershipChange;
  observe::LogLine Log;
};

} // namespace almondgate::control

#endif
