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
// A learner this close to the leader's log may vote.
constexpr uint64_t CaughtUpEntries = 100;

} // namespace

// --- members

void ControlCore::replaceMember(const consensus::MemberReplacement &replacement,
                                OnDone done) {
  if (!Leading) {
    done(notLeader());
    return;
  }
  if (Replacing) {
    done(Error{ErrorCode::Conflict, "another replacement is under way"});
    return;
  }
  Hooks.FetchIdentity(
      replacement.Inner, [this, replacement, done](const auto &identity) {
        if (!identity) {
          done(identity.error());
          return;
        }
        if (!Leading || Replacing) {
          done(notLeader());
          return;
        }
        Replacing = Replacement{replacement.Old,
                                {identity.value(), replacement.Inner, false},
                                done,
                                Hooks.Node.Now() + ReplacementTimeout};
        Hooks.Log("member " + identity.value().str() + " joins for " +
                  replacement.Old.str());
        continueReplacement();
        runEffects();
      });
}

core::Status ControlCore::join(const consensus::Member &member) {
  if (!Leading)
    return notLeader();
  const bool known = Joiners.contains(member.Id);
  Joiners[member.Id] = {member.Inner, Hooks.Node.Now()};
  if (!known)
    Hooks.Log("member " + member.Id.str() + " at " +
              core::toString(member.Inner) + " asks to join");
  return core::ok();
}

void ControlCore::keepMembership() {
  if (Options.Voters == 0 || Replacing)
    return;
  const auto now = Hooks.Node.Now();
  const auto &members = Node.membership();
  std::vector<MemberHealth> known;
  for (const auto &member : members.Members) {
    const auto *progress = Node.progressOf(member.Id);
    MemberHealth health{member.Id, member.Inner, {}, true};
    if (progress) {
      const auto joining = Joiners.find(member.Id);
      const int64_t asked =
          joining == Joiners.end() ? 0 : joining->second.Asked.Count;
      const auto heard =
          std::max({progress->LastAnsweredSentMs, LeadingSince.Count, asked});
      health.SinceLastContact = DurationMs{now.Count - heard};
      health.CaughtUp = progress->Match > 0 &&
                        progress->Match + CaughtUpEntries >= Node.commitIndex();
    }
    known.push_back(std::move(health));
  }
  for (const auto &[id, joining] : Joiners)
    if (!consensus::findMember(members, id))
      known.push_back({id, joining.Inner, now - joining.Asked, false});
  const auto next =
      planMembership(members, Node.self(), known, {.Voters = Options.Voters});
  if (!next || !Node.changeMembership(*next))
    return;
  std::string names;
  for (const auto &member : next->Members)
    names += " " + member.Id.str() + (member.Voter ? "" : "(learner)");
  Hooks.Log("membership becomes" + names);
}

// One voter at a time: learn, catch up, remove the old one, then vote.
void ControlCore::continueReplacement() {
  if (!Replacing)
    return;
  if (Hooks.Node.Now() > Replacing->Until) {
    finishReplacement(
        Error{ErrorCode::DeadlineExceeded,
              "the replacement did not finish; send it again to go on"});
    return;
  }
  const auto &members = Node.membership();
  const auto *joined = consensus::findMember(members, Replacing->New.Id);
  const bool old_there =
      consensus::findMember(members, Replacing->Old) != nullptr;
  if (joined && joined->Voter && !old_there) {
    Hooks.Log("member " + Replacing->New.Id.str() + " votes");
    finishReplacement(core::ok());
    return;
  }
  if (!joined) {
    (void)Node.changeMembership(withMember(members, Replacing->New));
    return;
  }
  const auto *progress = Node.progressOf(Replacing->New.Id);
  if (!progress || progress->Match + CaughtUpEntries < Node.commitIndex())
    return;
  if (old_there) {
    (void)Node.changeMembership(withoutMember(members, Replacing->Old));
    return;
  }
  consensus::Member voter = *joined;
  voter.Voter = true;
  (void)Node.changeMembership(withMember(members, voter));
}

void ControlCore::finishReplacement(const core::Status &status) {
  if (!Replacing)
    return;
  const OnDone done = std::move(Replacing->Done);
  Replacing.reset();
  done(status);
}

} // namespace almondgate::control
