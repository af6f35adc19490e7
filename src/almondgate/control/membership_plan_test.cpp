#include "almondgate/control/membership_plan.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::control;
using consensus::MemberId;
using consensus::Membership;
using core::DurationMs;

namespace {

core::Address at(uint16_t port) { return {"10.0.0.1", port}; }

Membership three() {
  return {{{MemberId("a"), at(1), true},
           {MemberId("b"), at(2), true},
           {MemberId("c"), at(3), true}}};
}

std::vector<MemberHealth> healthy(const Membership &members) {
  std::vector<MemberHealth> out;
  for (const auto &member : members.Members)
    out.push_back({member.Id, member.Inner, {}, true});
  return out;
}

size_t voters(const Membership &members) {
  size_t n = 0;
  for (const auto &member : members.Members)
    n += member.Voter ? 1 : 0;
  return n;
}

} // namespace

TEST_CASE("a healthy membership stays as it is") {
  CHECK_FALSE(planMembership(three(), MemberId("a"), healthy(three()), {}));
}

TEST_CASE("a member with an emptied disk replaces the one at its address") {
  Membership members = three();
  auto known = healthy(members);
  known[2].SinceLastContact = DurationMs{1000};
  known.push_back({MemberId("d"), at(3), DurationMs{0}, false});
  size_t steps = 0;
  for (; steps < 5; ++steps) {
    const auto next = planMembership(members, MemberId("a"), known, {});
    if (!next)
      break;
    CHECK(consensus::isSingleVoterChange(members, *next));
    CHECK(voters(*next) >= 3);
    members = *next;
    known = healthy(members);
    for (auto &health : known)
      if (health.Id == MemberId("c"))
        health.SinceLastContact = DurationMs{1000};
  }
  CHECK(steps == 3);
  CHECK(consensus::isVoter(members, MemberId("d")));
  CHECK(consensus::findMember(members, MemberId("c")) == nullptr);
}

TEST_CASE("a voter without contact is kept while no other can replace it") {
  auto known = healthy(three());
  known[1].SinceLastContact = DurationMs{60000};
  CHECK_FALSE(planMembership(three(), MemberId("a"), known, {}));
}

TEST_CASE("a learner that has not caught up is not made a voter") {
  Membership members = three();
  members.Members.push_back({MemberId("d"), at(4), false});
  auto known = healthy(members);
  known[1].SinceLastContact = DurationMs{60000};
  known[3].CaughtUp = false;
  CHECK_FALSE(planMembership(members, MemberId("a"), known, {}));
  known[3].CaughtUp = true;
  const auto next = planMembership(members, MemberId("a"), known, {});
  REQUIRE(next);
  CHECK(voters(*next) == 4);
}

TEST_CASE("learners become voters up to the configured number") {
  Membership members = three();
  members.Members.push_back({MemberId("d"), at(4), false});
  MembershipRules rules;
  rules.Voters = 5;
  const auto next =
      planMembership(members, MemberId("a"), healthy(members), rules);
  REQUIRE(next);
  CHECK(voters(*next) == 4);
}
