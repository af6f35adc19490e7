#include "almondgate/dispatch/job_budget.hpp"

#include "test_jobs.hpp"

#include <random>

using namespace almondgate;
using namespace almondgate::dispatch;
using jobs::JobOutcome;

namespace {

constexpr int64_t Ids = 12;

jobs::Event randomEvent(std::mt19937 &random, int64_t now) {
  const auto below = [&](int64_t n) { return int64_t(random() % uint64_t(n)); };
  const jobs::JobId id(jobId(below(Ids)));
  switch (below(8)) {
  case 0:
  case 1: {
    auto spec = oneStep(1 + below(4), 1, 100);
    spec.Content = std::string(size_t(below(50)), 'x');
    spec.Repetitions = below(3);
    spec.Steps[0].Gang = below(2) == 0;
    return jobs::JobAccepted{.Id = id, .Spec = spec};
  }
  case 2:
    return jobs::JobCancelled{id, now};
  case 3:
    return jobs::JobsExpired{now - 20};
  default:
    return jobs::TaskEnded{id, uint64_t(below(4)), now, below(4) > 0, now};
  }
}

} // namespace

TEST_CASE("the bytes kept for jobs equal those counted after each event") {
  std::mt19937 random(1);
  jobs::Ledger ledger;
  JobBudget budget(1000, ledger);
  int64_t now = 0;
  size_t most = 0;
  for (int i = 0; i < 3000; ++i) {
    std::vector<jobs::Event> batch;
    for (uint64_t n = 1 + random() % 3; n > 0; --n)
      batch.push_back(randomEvent(random, ++now));
    for (const auto &event : batch)
      jobs::apply(ledger, event);
    for (const auto &event : batch)
      budget.onEventApplied(event);
    REQUIRE(budget.used() == countJobBytes(ledger));
    most = std::max(most, ledger.Jobs.size());
  }
  CHECK(most > 4);
  ledger.Jobs.clear();
  budget.recount();
  CHECK(budget.used() == 0);
}

TEST_CASE("jobs beyond the room for open work are refused until one ends") {
  Fleet fleet(2);
  fleet.Options.JobsLimitBytes = 10000;
  fleet.lead();
  auto spec = longRunning(1000, 0);
  SUBCASE("long-running") {}
  SUBCASE("scheduled") {
    spec = oneStep(10, 1, 100);
    spec.Repetitions = 100;
    spec.StartAtMs = fleet.now() + 100000;
    spec.IntervalMs = 1000;
  }
  const auto submit = [&](int64_t n, const char *call) {
    return fleet.submit(jobId(n), spec, "q", call);
  };
  REQUIRE(submit(1, "c1").Outcome == JobOutcome::Done);
  const auto refused = submit(2, "c2");
  CHECK(refused.Outcome == JobOutcome::Refused);
  CHECK(refused.RetryAfterMs > 0);
  CHECK(refused.Text.find("too much work is open") == 0);
  CHECK_FALSE(fleet.ledger().Jobs.contains(jobs::JobId(jobId(2))));
  CHECK(submit(1, "c1").Outcome == JobOutcome::Done);
  CHECK(fleet.dispatcher().jobsReading().Refused == 1);
  fleet.lead();
  CHECK(submit(2, "c3").Outcome == JobOutcome::Refused);
  fleet.cancel(jobId(1));
  CHECK(submit(2, "c3").Outcome == JobOutcome::Refused);
  CHECK(submit(2, "c4").Outcome == JobOutcome::Done);
  fleet.checkViolations();
}

TEST_CASE(
    "jobs that are submitted together are counted before they are stored") {
  Fleet fleet(2);
  fleet.Options.JobsLimitBytes = 10000;
  fleet.lead();
  int64_t refused = 0;
  for (int64_t n = 0; n < 5; ++n) {
    auto call = testCall(jobs::JobVerb::Submit, jobId(n));
    call.Spec = longRunning(1000, 0);
    fleet.dispatcher().handleCall(call, [&](const auto &reply) {
      refused += reply && reply.value().Outcome == JobOutcome::Refused;
    });
  }
  fleet.advance(100);
  CHECK(refused == 4);
  CHECK(fleet.ledger().Jobs.size() == 1);
}
