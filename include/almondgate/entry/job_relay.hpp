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
#include <memory>

namespace almondgate::entry {

/// Forwards callers' job requests to the control leader. Keeps the list of
/// control members current by polling any member that it can reach.
class JobRelay {
public:
  using OnReply = std::function<void(core::Result<jobs::JobReply>)>;

  JobRelay(
      task::Loop &loop, const config::EntrySettings &settings,
      const std::shared_ptr<task::DescriptorBudget> &descriptors = nullptr);

  void start();

  /// Errors: as ControlClient::call(), with Outcome NotRun if the call was
  /// certainly not carried out.
  void call(const jobs::JobCall &call, core::DurationMs timeout, OnReply done);

  /// The reason why this process is not ready, or an empty string.
  std::string notReady() const;

  /// Returns the state of the byte budgets of its calls to other processes.
  std::vector<core::BudgetReading> budgets() const;

private:
  void refreshMembers();

  const core::DurationMs MaxReplyAge;
  protocol::RpcClient Rpc;
  std::vector<core::Address> Members;
  watch::ControlClient Control;
  task::Timer RefreshTimer;
  size_t NextMember = 0;
  core::TimeMs LastReplyAt;
  bool HasReply = false;
};

} // namespace almondgate::entry

#endif
