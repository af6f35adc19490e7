#include "almondgate/entry/job_relay.hpp"
#include "almondgate/consensus/membership.hpp"
#include "almondgate/entry/send_job_call.hpp"
#include "almondgate/observe/log.hpp"

#include "reply_decoding.hpp"

namespace almondgate::entry {

using core::DurationMs;
using core::Result;
using protocol::Method;

namespace {

constexpr DurationMs FollowInterval{1000};
constexpr DurationMs FirstFollow{100};
constexpr DurationMs FollowTimeout{900};

} // namespace

JobRelay::JobRelay(task::Loop &loop, const config::EntrySettings &settings)
    : FreshFor(settings.FreshFor), Rpc(loop, {settings.Common.Secret}),
      Members(settings.Common.Control), Control(loop, Rpc, Members),
      Follow(loop) {}

void JobRelay::start() {
  Follow.once(FirstFollow, [this] { followMembers(); });
}

void JobRelay::followMembers() {
  const auto &asked = Members[NextAsked++ % Members.size()];
  Rpc.call(asked, Method::ListMembers, "", FollowTimeout,
           [this](const Result<std::string> &reply) {
             const auto members = decoded<consensus::Membership>(reply);
             if (!members || members.value().Members.empty())
               return;
             Heard = true;
             HeardAt = core::monotonicNow();
             std::vector<core::Address> next;
             for (const auto &member : members.value().Members)
               next.push_back(member.Inner);
             if (next == Members)
               return;
             observe::logInfo("relay", "follows " +
                                           std::to_string(next.size()) +
                                           " control members");
             Members = next;
             Control.setMembers(std::move(next));
           });
  Follow.once(Heard ? FollowInterval : FirstFollow,
              [this] { followMembers(); });
}

void JobRelay::call(const jobs::JobCall &call, DurationMs timeout,
                    OnReply done) {
  sendJobCall(Control, call, timeout, std::move(done));
}

std::string JobRelay::notReady() const {
  if (!Heard)
    return "no control member has answered yet";
  const bool fresh = core::monotonicNow() - HeardAt < FreshFor;
  return fresh ? "" : "no control member answers";
}

} // namespace almondgate::entry
