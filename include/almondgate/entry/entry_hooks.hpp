#ifndef ALMONDGATE_ENTRY_ENTRY_HOOKS_HPP
#define ALMONDGATE_ENTRY_ENTRY_HOOKS_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/http/endpoint_call.hpp"
#include "almondgate/http/response.hpp"
#include "almondgate/model/grant.hpp"
#include "almondgate/model/grant_request.hpp"
#include "almondgate/model/release.hpp"
#include "almondgate/observe/log.hpp"
#include "almondgate/state/change.hpp"
#include "almondgate/state/change_result.hpp"

#include <functional>

namespace almondgate::entry {

/// Operations that EntryCore needs from its host.
struct EntryHooks {
  using OnGrant = std::function<void(core::Result<model::Grant>)>;
  using OnResponse = std::function<void(core::Result<http::Response>)>;
  using OnChange = std::function<void(core::Result<state::ChangeResult>)>;

  core::Clock Now;
  std::function<int64_t()> WallClock;
  /// Requests a slot from a placer.
  std::function<void(const core::Address &, const model::GrantRequest &,
                     OnGrant)>
      Grant;
  /// Returns a grant; the host repeats this until the pool's owner has
  /// acknowledged it.
  std::function<void(const model::Release &)> Release;
  /// Sends a change to the control leader.
  std::function<void(const state::Change &, OnChange)> Propose;
  /// Sends a call to an endpoint and returns its id for Abort.
  std::function<uint64_t(http::EndpointCall, OnResponse)> Dispatch;
  std::function<void(uint64_t)> Abort;
  observe::LogLine Log;
};

} // namespace almondgate::entry

#endif
