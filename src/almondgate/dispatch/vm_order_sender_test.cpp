#include "almondgate/dispatch/vm_order_sender.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace almondgate;
using namespace almondgate::dispatch;

namespace {

/// A VmOrderSender whose records become durable at makeDurable().
struct Fixture {
  core::TimeMs Now{100000};
  bool MayAct = true;
  bool WithinBudget = true;
  jobs::Ledger Ledger;
  std::vector<std::pair<std::vector<jobs::Event>, std::function<void(bool)>>>
      Records;
  std::vector<VmOrder> Sent;
  std::optional<VmOrderResult> Result;
  VmOrderSender Sender;

  Fixture() : Sender(core::DurationMs{3000}, hooks(), Ledger) {
    Sender.begin();
  }

  void order(const char *vm) {
    VmOrder order;
    order.Vm = core::VmId(vm);
    Sender.order(order, [this](VmOrderResult result) { Result = result; });
  }

  void makeDurable() {
    for (const auto &[events, done] : std::exchange(Records, {})) {
      for (const auto &event : events)
        jobs::apply(Ledger, event);
      done(true);
    }
  }

private:
  VmOrderSenderHooks hooks() {
    VmOrderSenderHooks hooks;
    hooks.Now = [this] { return Now; };
    hooks.MayAct = [this] { return MayAct; };
    hooks.WithinBudget = [this](const VmOrder &) { return WithinBudget; };
    hooks.Record = [this](auto events, auto done) {
      Records.emplace_back(std::move(events), std::move(done));
    };
    hooks.OrderVm = [this](const VmOrder &order, const auto &done) {
      Sent.push_back(order);
      done(VmOrderResult::Accepted);
    };
    hooks.Log = [](const std::string &) {};
    return hooks;
  }
};

} // namespace

TEST_CASE("an order is sent once it is durable that its VM has one") {
  Fixture fixture;
  fixture.order("m1");
  CHECK(fixture.Sent.empty());
  fixture.makeDurable();
  CHECK(fixture.Sent.size() == 1);
  CHECK((fixture.Result == VmOrderResult::Accepted));
  fixture.order("m1");
  CHECK(fixture.Sent.size() == 2);
  CHECK(fixture.Records.empty());
}

TEST_CASE("a leader that was suspended sends no order after its record") {
  // Found on fde-goud-grown, trouble-1: a leader was suspended after it had
  // recorded an order. It sent the order 7 s later, between two orders of its
  // successor.
  Fixture fixture;
  fixture.order("m1");
  fixture.MayAct = false;
  fixture.makeDurable();
  CHECK(fixture.Sent.empty());
  CHECK((fixture.Result == VmOrderResult::NoAnswer));
}

TEST_CASE(
    "an order needs a new record while its VM's expiry is being recorded") {
  Fixture fixture;
  fixture.order("m1");
  fixture.makeDurable();
  fixture.Now = fixture.Now + core::DurationMs{5000};
  fixture.Sender.recordExpiredLeases();
  REQUIRE(fixture.Records.size() == 1);
  // The expiry is not durable yet: an order now needs a record after it.
  fixture.order("m1");
  CHECK(fixture.Sent.size() == 1);
  fixture.makeDurable();
  CHECK(fixture.Sent.size() == 2);
  CHECK(fixture.Ledger.VmsOrdered.contains(core::VmId("m1")));
}

TEST_CASE("an order that no longer fits a budget when it is sent is withheld") {
  Fixture fixture;
  fixture.order("m1");
  fixture.WithinBudget = false;
  fixture.makeDurable();
  CHECK(fixture.Sent.empty());
  CHECK(fixture.Result == VmOrderResult::Withheld);
}
