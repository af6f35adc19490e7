#ifndef ALMONDGATE_ENTRY_JOB_RELAY_HPP
#define ALMONDGATE_ENTRY_JOB_RELAY_HPP

#include "almondgate/config/settings.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/jobs/job_call.hpp"
#include "almondgate/jobs/job_reply.hpp"
#include "almondgate/protocol/rpc_client.hpp"
#include "almondgate/task/timer.hpp"
#include "almondgate/watch/control_client.hpp"

#include <functional>

namespace almondgate::entry {

/// Passes callers' requests about jobs on to the control leader, and follows
/// the control members from any one that it reaches.
class JobRelay {
public:
  using OnReply = std::function<void(core::Result<jobs::JobReply>)>;

  JobRelay(task::Loop &loop, const config::EntrySettings &settings);

  void start();

  /// Errors given: as ControlClient::call(); Outcome NotRun where the call was
  /// surely not carried out.
  void call(const jobs::JobCall &call, core::DurationMs timeout, OnReply done);

  /// Empty, or why callers should go elsewhere.
  std::string notReady() const;

private:
  void followMembers();

  const core::DurationMs FreshFor;
  protocol::RpcClient Rpc;
  std::vector<core::Address> Members;
  watch::ControlClient Control;
  task::Timer Follow;
  size_t NextAsked = 0;
  core::TimeMs HeardAt;
  bool Heard = false;
};

} // namespace almondgate::entry

#endif
