#include "almondgate/task/descriptor_budget.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <utility>
#include <vector>

using namespace almondgate;
using task::DescriptorBudget;
using task::DescriptorKind;
using task::DescriptorLease;

namespace {

constexpr task::DescriptorLimits Few{8, 6, 6, 10};

/// A budget whose deferred functions run on request.
struct Fixture {
  std::vector<std::function<void()>> Deferred;
  std::shared_ptr<DescriptorBudget> Budget = std::make_shared<DescriptorBudget>(
      Few, [this](auto fn) { Deferred.push_back(std::move(fn)); });

  void runDeferred() {
    for (const auto &fn : std::exchange(Deferred, {}))
      fn();
  }
};

/// A server or client whose connections can be made idle.
struct TestUser {
  TestUser(Fixture &fixture, DescriptorKind kind)
      : Budget(fixture.Budget), Kind(kind),
        Id(Budget->addUser(
            kind, {[this] {
                     return Idle.empty() ? std::nullopt
                                         : std::optional(Idle.front().first);
                   },
                   [this] { Idle.pop_front(); }, [this] { ++Notified; }})) {}

  bool open() {
    auto lease = Budget->take(Kind);
    if (lease)
      Busy.push_back(std::move(*lease));
    return lease.has_value();
  }
  int openAll() {
    int n = 0;
    while (open())
      ++n;
    return n;
  }
  void makeIdle(int64_t since) {
    Idle.emplace_back(core::TimeMs{since}, std::move(Busy.back()));
    Busy.pop_back();
  }

  const std::shared_ptr<DescriptorBudget> Budget;
  const DescriptorKind Kind;
  std::vector<DescriptorLease> Busy;
  std::deque<std::pair<core::TimeMs, DescriptorLease>> Idle;
  int Notified = 0;
  const uint64_t Id;
};

} // namespace

TEST_CASE("the limits leave each kind a share, and files a reserve") {
  CHECK(task::planDescriptors(4096) ==
        task::DescriptorLimits{3896, 2922, 2922, 200});
  CHECK(task::planDescriptors(300) == task::DescriptorLimits{100, 75, 75, 200});
  const auto small = task::planDescriptors(64);
  CHECK(small.Connections + small.Reserved == 64);
  CHECK(small.Connections == 21);
  CHECK(task::planDescriptors(SIZE_MAX).Connections > 1000000);
}

// Guards against callers that take all descriptors, so that no endpoint can be
// called any more.
TEST_CASE("one kind leaves the other its guaranteed part") {
  Fixture fixture;
  TestUser in(fixture, DescriptorKind::Inbound);
  TestUser out(fixture, DescriptorKind::Outbound);
  CHECK(in.openAll() == 6);
  CHECK(fixture.Budget->outboundRoom() == 2);
  CHECK(out.openAll() == 2);
  CHECK(fixture.Budget->used(DescriptorKind::Inbound) == 6);
  in.Busy.clear();
  CHECK(out.openAll() == 4);
  CHECK(fixture.Budget->used(DescriptorKind::Inbound) == 0);
}

TEST_CASE("idle connections are closed before one is refused, longest first") {
  Fixture fixture;
  TestUser orders(fixture, DescriptorKind::Outbound);
  TestUser renewals(fixture, DescriptorKind::Outbound);
  CHECK(orders.openAll() == 6);
  orders.makeIdle(20);
  orders.makeIdle(30);
  CHECK(renewals.open());
  REQUIRE(orders.Idle.size() == 1);
  CHECK(orders.Idle.front().first == core::TimeMs{30});
  renewals.makeIdle(10);
  CHECK(renewals.open());
  CHECK(renewals.Idle.empty());
  CHECK(orders.Idle.size() == 1);
}

TEST_CASE("an idle connection of another kind is closed within its surplus") {
  Fixture fixture;
  TestUser in(fixture, DescriptorKind::Inbound);
  TestUser out(fixture, DescriptorKind::Outbound);
  CHECK(in.openAll() == 6);
  CHECK(out.openAll() == 2);
  for (int i = 0; i < 5; ++i)
    in.makeIdle(i);
  CHECK(out.openAll() == 4);
  // The last two places of inbound connections are guaranteed.
  CHECK(fixture.Budget->used(DescriptorKind::Inbound) == 2);
  CHECK(in.Idle.size() == 1);
}

// Guards against a server or client that waits although a descriptor is free,
// and against one that is woken without need.
TEST_CASE("users are told of room only after a refusal") {
  Fixture fixture;
  TestUser in(fixture, DescriptorKind::Inbound);
  TestUser out(fixture, DescriptorKind::Outbound);
  CHECK(in.open());
  in.Busy.clear();
  CHECK(fixture.Deferred.empty());
  CHECK(out.openAll() == 6);
  out.Busy.clear();
  CHECK(fixture.Deferred.size() == 1);
  fixture.runDeferred();
  CHECK(in.Notified == 1);
  CHECK(out.Notified == 1);
  CHECK(out.openAll() == 6);
  out.makeIdle(1);
  fixture.Budget->onIdle();
  fixture.Budget->removeUser(in.Id);
  fixture.runDeferred();
  CHECK(in.Notified == 1);
  CHECK(out.Notified == 2);
}

TEST_CASE("the reserve never waits, and a lease counts until it is released") {
  Fixture fixture;
  TestUser in(fixture, DescriptorKind::Inbound);
  in.openAll();
  {
    auto lease = fixture.Budget->takeReserved();
    DescriptorLease moved = std::move(lease);
    CHECK(fixture.Budget->used(DescriptorKind::Internal) == 1);
  }
  CHECK(fixture.Budget->used(DescriptorKind::Internal) == 0);
  const auto text = fixture.Budget->metricsText();
  CHECK(text.find("almondgate_descriptors_used{kind=\"inbound\"} 6") !=
        std::string::npos);
  CHECK(text.find("almondgate_descriptors_refused_total{kind=\"inbound\"} 1") !=
        std::string::npos);
}
