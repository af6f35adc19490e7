#include "almondgate/jobs/ledger.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::jobs;

namespace {

const JobId Job("00000000000000aa");

Ledger withJob(const JobSpec &spec, int64_t attempts = 2) {
  Ledger ledger;
  FleetConfig config;
  config.Version = 1;
  config.Pools = {{core::PoolId("p")}};
  QueueSpec queue;
  queue.Id = core::QueueId("q");
  queue.Pool = core::PoolId("p");
  queue.MaxAttempts = attempts;
  config.Queues = {queue};
  apply(ledger, ConfigReplaced{config});
  apply(ledger, JobAccepted{Job, queue.Id, core::TeamId("t"), spec, 10, 1, "",
                            termsOf(queue)});
  return ledger;
}

JobSpec steps(const std::vector<int64_t> &counts) {
  JobSpec spec;
  for (const int64_t n : counts) {
    StepSpec step;
    step.Count = n;
    spec.Steps.push_back(step);
  }
  return spec;
}

TaskEnded ended(uint64_t task, int64_t run, bool done) {
  return {Job, task, run, done, 99};
}

} // namespace

TEST_CASE("indexOf and taskAt are inverse") {
  JobSpec spec = steps({2, 3});
  spec.Repetitions = 3;
  for (size_t at = 0; at < 15; ++at)
    CHECK(indexOf(spec, taskAt(Job, spec, at)) == at);
  CHECK_FALSE(indexOf(spec, {Job, 3, 0, 0}).has_value());
  CHECK_FALSE(indexOf(spec, {Job, 0, 2, 0}).has_value());
  CHECK_FALSE(indexOf(spec, {Job, 0, 1, 3}).has_value());
}

TEST_CASE("a job ends when all its tasks are done") {
  Ledger ledger = withJob(steps({2}));
  apply(ledger, ended(0, 1, true));
  apply(ledger, ended(0, 1, true));
  CHECK(ledger.Jobs.at(Job).isOpen());
  apply(ledger, ended(1, 1, true));
  CHECK_FALSE(ledger.Jobs.at(Job).isOpen());
  CHECK(ledger.Jobs.at(Job).EndedWallMs == 99);
}

TEST_CASE(
    "a repeated report of a failed run counts once, and attempts are limited") {
  Ledger ledger = withJob(steps({2}));
  apply(ledger, ended(0, 1, false));
  apply(ledger, ended(0, 1, false));
  CHECK_FALSE(ledger.Jobs.at(Job).Failed);
  apply(ledger, ended(0, 2, false));
  CHECK(ledger.Jobs.at(Job).Failed);
}

TEST_CASE("the end of one gang member ends all members") {
  JobSpec spec = steps({3});
  spec.Steps[0].Gang = true;
  Ledger ledger = withJob(spec);
  apply(ledger, ended(1, 1, false));
  CHECK(ledger.Jobs.at(Job).Tasks[0].Failures == 1);
  apply(ledger, ended(2, 2, true));
  CHECK(ledger.Jobs.at(Job).Remaining == 0);
}

TEST_CASE(
    "a cancelled job stays cancelled, and an ended one can't be cancelled") {
  Ledger ledger = withJob(steps({1}));
  apply(ledger, JobCancelled{Job, 20});
  apply(ledger, ended(0, 1, true));
  CHECK(ledger.Jobs.at(Job).Cancelled);
  CHECK(ledger.Jobs.at(Job).Remaining == 1);
  Ledger other = withJob(steps({1}));
  apply(other, ended(0, 1, true));
  apply(other, JobCancelled{Job, 120});
  CHECK_FALSE(other.Jobs.at(Job).Cancelled);
}

TEST_CASE("only a configuration with a higher version takes effect") {
  Ledger ledger = withJob(steps({1}));
  FleetConfig same = ledger.Config;
  same.Queues.clear();
  apply(ledger, ConfigReplaced{same});
  CHECK(ledger.Config.Queues.size() == 1);
  same.Version = 2;
  apply(ledger, ConfigReplaced{same});
  CHECK(ledger.Config.Queues.empty());
}

// Guards against a record of an older incarnation that displaces a newer one:
// the runs of the newer one were taken for lost while they went on.
TEST_CASE("an older incarnation doesn't replace a newer one") {
  struct Case {
    std::string Name;
    int64_t KnownBornMs;
    int64_t BornMs;
    bool IsApplied;
  };
  const Case cases[] = {
      {"older", 6, 5, false},
      {"the same", 6, 6, true},
      {"newer", 6, 7, true},
      {"without a birth, after one with", 6, 0, false},
      {"with a birth, after one without", 0, 6, true},
      {"without a birth, after one without", 0, 0, true},
  };
  for (const auto &c : cases) {
    CAPTURE(c.Name);
    Ledger ledger;
    EndpointFacts facts;
    facts.Id = EndpointId("e");
    facts.BornMs = c.KnownBornMs;
    apply(ledger, EndpointRegistered{facts});
    EndpointFacts later = facts;
    later.BornMs = c.BornMs;
    later.Draining = true;
    apply(ledger, EndpointRegistered{later});
    CHECK(ledger.Endpoints.at(facts.Id) == (c.IsApplied ? later : facts));
  }
}

TEST_CASE("an ended incarnation can't register again, a later one can") {
  Ledger ledger;
  EndpointFacts facts;
  facts.Id = EndpointId("e");
  facts.BornMs = 5;
  apply(ledger, EndpointRegistered{facts});
  apply(ledger, EndpointGone{facts.Id, 5});
  apply(ledger, EndpointRegistered{facts});
  CHECK(ledger.Endpoints.empty());
  facts.BornMs = 6;
  apply(ledger, EndpointRegistered{facts});
  CHECK(ledger.Endpoints.size() == 1);
  apply(ledger, EndpointGone{facts.Id, 5});
  CHECK(ledger.Endpoints.size() == 1);
}

TEST_CASE("invalid configurations are refused") {
  FleetConfig good;
  good.Version = 1;
  good.Pools = {{core::PoolId("p")}};
  QueueSpec queue;
  queue.Id = core::QueueId("q");
  queue.Host = "h";
  queue.PathPrefix = "/a/";
  queue.Pool = core::PoolId("p");
  good.Queues = {queue};
  good.Teams = {{core::TeamId("t"), {"k"}, 1, {}}};
  CHECK(bool(checkConfig(good)));
  FleetConfig bad = good;
  bad.Version = 0;
  CHECK_FALSE(bool(checkConfig(bad)));
  bad = good;
  bad.Queues[0].Pool = core::PoolId("none");
  CHECK_FALSE(bool(checkConfig(bad)));
  bad = good;
  bad.Queues.push_back(queue);
  CHECK_FALSE(bool(checkConfig(bad)));
  bad = good;
  bad.Teams.push_back({core::TeamId("u"), {"k"}, 1, {}});
  CHECK_FALSE(bool(checkConfig(bad)));
}

TEST_CASE("the longest matching prefix selects the queue") {
  FleetConfig config;
  for (const char *prefix : {"/a/", "/a/b/"}) {
    QueueSpec queue;
    queue.Id = core::QueueId(prefix);
    queue.Host = "h";
    queue.PathPrefix = prefix;
    config.Queues.push_back(queue);
  }
  CHECK(queueAt(config, "h", "/a/b/1")->Id.str() == "/a/b/");
  CHECK(queueAt(config, "h", "/a/1")->Id.str() == "/a/");
  CHECK(queueAt(config, "h", "/c/1") == nullptr);
  CHECK(queueAt(config, "x", "/a/1") == nullptr);
}

// Guards against a job that fails after one attempt because its queue was away
// when the attempt ended.
TEST_CASE("a job keeps its attempts while its queue is not configured") {
  Ledger ledger = withJob(steps({1}), 3);
  FleetConfig without = ledger.Config;
  without.Version = 2;
  without.Queues.clear();
  apply(ledger, ConfigReplaced{without});
  apply(ledger, ended(0, 1, false));
  apply(ledger, ended(0, 2, false));
  CHECK(ledger.Jobs.at(Job).isOpen());
  apply(ledger, ended(0, 3, false));
  CHECK(ledger.Jobs.at(Job).Failed);
}

TEST_CASE("a job without recorded terms takes those of its queue") {
  Ledger ledger = withJob(steps({1}), 3);
  const JobTerms recorded = ledger.Jobs.at(Job).Terms;
  CHECK(recorded.Pool == core::PoolId("p"));
  CHECK(recorded.MaxAttempts == 3);
  ledger.Jobs.at(Job).Terms = {};
  const FleetConfig with = ledger.Config;
  SUBCASE("when a leader begins") { apply(ledger, EpochBegun{"m"}); }
  SUBCASE("before the queue is removed") {
    apply(ledger, ConfigReplaced{{.Version = 2, .Pools = with.Pools}});
  }
  SUBCASE("when the queue is back") {
    ledger.Config = {.Version = 2};
    apply(ledger, EpochBegun{"m"});
    apply(ledger, ended(0, 1, false));
    CHECK(ledger.Jobs.at(Job).isOpen());
    FleetConfig back = with;
    back.Version = 3;
    apply(ledger, ConfigReplaced{back});
  }
  JobTerms expected = recorded;
  expected.PoolReplaced = true;
  CHECK(ledger.Jobs.at(Job).Terms == expected);
}

TEST_CASE("a job follows its queue only when its own pool is removed") {
  Ledger ledger = withJob(steps({1}), 3);
  FleetConfig next = ledger.Config;
  next.Version = 2;
  next.Pools.push_back({core::PoolId("other")});
  next.Queues[0].Pool = core::PoolId("other");
  apply(ledger, ConfigReplaced{next});
  CHECK(ledger.Jobs.at(Job).Terms.Pool == core::PoolId("p"));
  CHECK_FALSE(ledger.Jobs.at(Job).Terms.PoolReplaced);
  next.Version = 3;
  next.Pools.erase(next.Pools.begin());
  apply(ledger, ConfigReplaced{next});
  CHECK(ledger.Jobs.at(Job).Terms.Pool == core::PoolId("other"));
  CHECK(ledger.Jobs.at(Job).Terms.PoolReplaced);
}

// Guards against a leader that doesn't know of the starts that earlier ones
// sent without an answer, and against records of them that grow without end.
TEST_CASE("starts without an answer are kept until their task or job ends") {
  Ledger ledger = withJob(steps({3}));
  const auto unanswered = [&](uint64_t task, const char *at,
                              bool over = false) {
    apply(ledger, StartUnanswered{Job, task, EndpointId(at), over});
  };
  const auto &kept = ledger.Jobs.at(Job).UnansweredStarts;
  unanswered(0, "a");
  unanswered(0, "a");
  unanswered(1, "a");
  unanswered(3, "a");
  CHECK(kept.size() == 2);
  unanswered(1, "b");
  unanswered(1, "a", true);
  CHECK(kept.at(1) == std::set<EndpointId>{EndpointId("b")});
  unanswered(1, "b", true);
  CHECK_FALSE(kept.contains(1));
  apply(ledger, ended(0, 1, true));
  CHECK_FALSE(kept.contains(0));
  unanswered(0, "b");
  CHECK_FALSE(kept.contains(0));
  apply(ledger, JobCancelled{Job, 5});
  CHECK(kept.empty());
}

// Guards against a delayed event that undoes a newer one.
TEST_CASE("a change of an evacuation applies only to its base revision") {
  const core::ZoneId zone("z-1");
  Ledger ledger;
  apply(ledger, ZoneEvacuated{zone, "ann", "fire", 7, 0});
  CHECK(ledger.EvacuationRevision == 1);
  CHECK(ledger.Evacuations.at(zone) == EvacuationRecord{"ann", "fire", 7});
  apply(ledger, EvacuationWithdrawn{zone, "bob", "", 8, 0});
  CHECK(ledger.Evacuations.contains(zone));
  apply(ledger, EvacuationWithdrawn{zone, "bob", "", 9, 1});
  CHECK(ledger.Evacuations.empty());
  CHECK(ledger.EvacuationRevision == 2);
  apply(ledger, ZoneEvacuated{zone, "ann", "fire", 10, 0});
  apply(ledger, ZoneEvacuated{zone, "ann", "fire", 10, 1});
  CHECK(ledger.Evacuations.empty());
  CHECK(ledger.EvacuationRevision == 2);
}
