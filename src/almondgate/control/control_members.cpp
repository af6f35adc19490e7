#include "almondgate/control/control_core.hpp"
#include "almondgate/control/membership_plan.hpp"

#include "control_errors.hpp"

#include <algorithm>

namespace almondgate::control {

using core::DurationMs;
using core::Error;
using core::ErrorCode;

namespace {

constexpr DurationMs ReplacementTimeout{30000};
// A learner that lags the leader's commit index by at most this many entries
// may become a voter.
constexpr uint64_t CaughtUpEntries = 100;

} // namespace

// --- members

void ControlCore::replaceMember(const consensus::MemberReplacement &replacement,
                                OnDone done) {
  if (!Leading) {
    done(notLeader());
    return;
  }
  if (ActiveReplacement) {
    done(Error{ErrorCode::Conflict, "member " + ActiveReplacement->Old.str() +
                                        " is being replaced by " +
                                        ActiveReplacement->New.Id.str() +
                                        "; one replacement at a time"});
    return;
  }
  Hooks.FetchIdentity(
      replacement.Inner, [this, replacement, done](const auto &identity) {
        if (!identity) {
          done(identity.error());
          return;
        }
        if (!Leading || ActiveReplacement) {
          done(notLeader());
          return;
        }
        ActiveReplacement =
            Replacement{replacement.Old,
                        {identity.value(), replacement.Inner, false},
                        done,
                        Hooks.Node.Now() + ReplacementTimeout};
        Hooks.Log("replacing member " + replacement.Old.str() + " by " +
                  identity.value().str() + " at " +
                  core::toString(replacement.Inner) + " in term " +
                  std::to_string(Node.term()));
        advanceReplacement();
        runEffects();
      });
}

core::Status ControlCore::join(const consensus::Member &member) {
  if (!Leading)
    return notLeader();
  const bool known = JoinRequests.contains(member.Id);
  JoinRequests[member.Id] = {member.Inner, Hooks.Node.Now()};
  if (!known)
    Hooks.Log("member " + member.Id.str() + " at " +
              core::toString(member.Inner) + " requests to join in term " +
              std::to_string(Node.term()));
  return core::ok();
}

void ControlCore::reconcileMembership() {
  if (Options.Voters == 0 || ActiveReplacement)
    return;
  const auto now = Hooks.Node.Now();
  const auto &members = Node.membership();
  std::vector<MemberHealth> known;
  for (const auto &member : members.Members) {
    const auto *progress = Node.progressOf(member.Id);
    MemberHealth health{member.Id, member.Inner, {}, true};
    if (progress) {
      const auto joining = JoinRequests.find(member.Id);
      const int64_t requested =
          joining == JoinRequests.end() ? 0 : joining->second.ReceivedAt.Count;
      const auto last_contact = std::max(
          {progress->LastAnsweredSentMs, LeadingSince.Count, requested});
      health.SinceLastContact = DurationMs{now.Count - last_contact};
      health.CaughtUp = progress->Match > 0 &&
                        progress->Match + CaughtUpEntries >= Node.commitIndex();
    }
    known.push_back(std::move(health));
  }
  for (const auto &[id, joining] : JoinRequests)
    if (!consensus::findMember(members, id))
      known.push_back({id, joining.Inner, now - joining.ReceivedAt, false});
  const auto next =
      planMembership(members, Node.self(), known, {.Voters = Options.Voters});
  if (!next || !Node.changeMembership(*next))
    return;
  std::string names;
  for (const auto &member : next->Members)
    names += " " + member.Id.str() + (member.Voter ? "" : "(learner)");
  std::string contacts;
  for (const auto &health : known)
    contacts += (contacts.empty() ? " " : ", ") + health.Id.str() + " " +
                std::to_string(health.SinceLastContact.Count) + " ms";
  Hooks.Log("membership becomes" + names + " in term " +
            std::to_string(Node.term()) +
            "; configured voters: " + std::to_string(Options.Voters) +
            "; since last contact:" + contacts);
}

// Changes one voter at a time: adds the new member as a learner, waits until it
// has caught up, removes the old member, then makes the new one a voter.
void ControlCore::advanceReplacement() {
  if (!ActiveReplacement)
    return;
  if (Hooks.Node.Now() > ActiveReplacement->Deadline) {
    finishReplacement(Error{ErrorCode::DeadlineExceeded,
                            "member " + ActiveReplacement->Old.str() +
                                " was not replaced by " +
                                ActiveReplacement->New.Id.str() + " within " +
                                std::to_string(ReplacementTimeout.Count) +
                                " ms; send the request again to continue"});
    return;
  }
  const auto &members = Node.membership();
  const auto *joined =
      consensus::findMember(members, ActiveReplacement->New.Id);
  const bool old_present =
      consensus::findMember(members, ActiveReplacement->Old) != nullptr;
  if (joined && joined->Voter && !old_present) {
    Hooks.Log("replaced member " + ActiveReplacement->Old.str() + " by " +
              ActiveReplacement->New.Id.str() +
              ", which is now a voter; term " + std::to_string(Node.term()));
    finishReplacement(core::ok());
    return;
  }
  if (!joined) {
    (void)Node.changeMembership(withMember(members, ActiveReplacement->New));
    return;
  }
  const auto *progress = Node.progressOf(ActiveReplacement->New.Id);
  if (!progress || progress->Match + CaughtUpEntries < Node.commitIndex())
    return;
  if (old_present) {
    (void)Node.changeMembership(withoutMember(members, ActiveReplacement->Old));
    return;
  }
  consensus::Member voter = *joined;
  voter.Voter = true;
  (void)Node.changeMembership(withMember(members, voter));
}

void ControlCore::finishReplacement(const core::Status &status) {
  if (!ActiveReplacement)
    return;
  const OnDone done = std::move(ActiveReplacement->Done);
  ActiveReplacement.reset();
  done(status);
}

} // namespace almondgate::control
