#include "almondgate/entry/job_relay.hpp"
#include "almondgate/consensus/membership.hpp"
#include "almondgate/entry/send_job_call.hpp"
#include "almondgate/observe/log.hpp"

#include "almondgate/protocol/reply_decoding.hpp"

namespace almondgate::entry {

using core::DurationMs;
using core::Result;
using protocol::Method;

namespace {

constexpr DurationMs RefreshInterval{1000};
constexpr DurationMs InitialRetryDelay{100};
constexpr DurationMs RefreshTimeout{900};

} // namespace

JobRelay::JobRelay(task::Loop &loop, const config::EntrySettings &settings,
                   const std::shared_ptr<task::DescriptorBudget> &descriptors)
    : MaxReplyAge(settings.FreshFor),
      Rpc(loop, protocol::rpcOptions(settings.Common.Secret,
                                     settings.Common.Memory, descriptors)),
      Members(settings.Common.Control),
      Control(loop, Rpc, Members, settings.Common.Memory.Peers / 2),
      RefreshTimer(loop) {}

void JobRelay::start() {
  // Without members, no list of members can be read.
  if (Members.empty())
    return;
  RefreshTimer.once(InitialRetryDelay, [this] { refreshMembers(); });
}

void JobRelay::refreshMembers() {
  const auto &member_address = Members[NextMember++ % Members.size()];
  Rpc.call(member_address, Method::ListMembers, "", RefreshTimeout,
           [this](const Result<std::string> &reply) {
             const auto members =
                 protocol::decodeReply<consensus::Membership>(reply);
             if (!members || members.value().Members.empty())
               return;
             HasReply = true;
             LastReplyAt = core::monotonicNow();
             std::vector<core::Address> next;
             for (const auto &member : members.value().Members)
               next.push_back(member.Inner);
             if (next == Members)
               return;
             observe::logInfo("relay", "the control group has " +
                                           std::to_string(next.size()) +
                                           " members");
             Members = next;
             Control.setMembers(std::move(next));
           });
  RefreshTimer.once(HasReply ? RefreshInterval : InitialRetryDelay,
                    [this] { refreshMembers(); });
}

void JobRelay::call(const jobs::JobCall &call, DurationMs timeout,
                    OnReply done) {
  sendJobCall(Control, call, timeout, std::move(done));
}

std::vector<core::BudgetReading> JobRelay::budgets() const {
  return {Rpc.budget(), Control.budget()};
}

std::string JobRelay::notReady() const {
  if (Members.empty())
    return "no control member is known";
  if (!HasReply)
    return "no control member has replied yet";
  const bool fresh = core::monotonicNow() - LastReplyAt < MaxReplyAge;
  return fresh ? "" : "no recent reply from a control member";
}

} // namespace almondgate::entry
