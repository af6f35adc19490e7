#include "almondgate/dispatch/vm_order_sender.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace almondgate;
using namespace almondgate::dispatch;

namespace {

/// A book whose records become durable when the test says so.
struct Bench {
  core::TimeMs Now{100000};
  bool MayAct = true;
  bool WithinBudget = true;
  jobs::Ledger Ledger;
  std::vector<std::pair<std::vector<jobs::Event>, std::function<void(bool)>>>
      Records;
  std::vector<VmOrder> Sent;
  std::optional<VmOrderResult> Result;
  VmOrderSender Book;

  Bench() : Book(core::DurationMs{3000}, hooks(), Ledger) { Book.begin(); }

  void order(const char *vm) {
    VmOrder order;
    order.Vm = core::VmId(vm);
    Book.order(order, [this](VmOrderResult result) { Result = result; });
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

TEST_CASE("an order leaves once it is durable that its VM has one") {
  Bench bench;
  bench.order("m1");
  CHECK(bench.Sent.empty());
  bench.makeDurable();
  CHECK(bench.Sent.size() == 1);
  CHECK((bench.Result == VmOrderResult::Accepted));
  bench.order("m1");
  CHECK(bench.Sent.size() == 2);
  CHECK(bench.Records.empty());
}

TEST_CASE("a leader that froze sends no order when its record is durable") {
  // Found on fde-goud-grown, trouble-1: the leader froze between the record of
  // an order and the order, and sent it 7 s later, between two of another's.
  Bench bench;
  bench.order("m1");
  bench.MayAct = false;
  bench.makeDurable();
  CHECK(bench.Sent.empty());
  CHECK((bench.Result == VmOrderResult::NoAnswer));
}

TEST_CASE("a VM is free again once its lapse is durable, not before") {
  Bench bench;
  bench.order("m1");
  bench.makeDurable();
  bench.Now = bench.Now + core::DurationMs{5000};
  bench.Book.recordExpiredLeases();
  REQUIRE(bench.Records.size() == 1);
  // The lapse is on its way: an order now needs a record after it.
  bench.order("m1");
  CHECK(bench.Sent.size() == 1);
  bench.makeDurable();
  CHECK(bench.Sent.size() == 2);
  CHECK(bench.Ledger.VmsOrdered.contains(core::VmId("m1")));
}

TEST_CASE("an order that a budget forbids by the time it leaves is withheld") {
  Bench bench;
  bench.order("m1");
  bench.WithinBudget = false;
  bench.makeDurable();
  CHECK(bench.Sent.empty());
  CHECK(bench.Result == VmOrderResult::Withheld);
}
