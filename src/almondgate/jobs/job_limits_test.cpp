#include "almondgate/jobs/job_limits.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::jobs;

TEST_CASE("invalid jobs are refused") {
  JobSpec spec;
  CHECK_FALSE(bool(checkJob(spec)));
  spec.Steps.resize(2);
  CHECK(bool(checkJob(spec)));
  const auto bad = [&](auto edit) {
    JobSpec other = spec;
    edit(other);
    return !checkJob(other);
  };
  CHECK(bad([](auto &s) { s.Steps[0].Count = 0; }));
  CHECK(bad([](auto &s) { s.Steps[0].Count = MaxTasksPerJob + 1; }));
  CHECK(bad([](auto &s) { s.Steps[0].After = {0}; }));
  CHECK(bad([](auto &s) { s.Steps[1].After = {2}; }));
  CHECK(bad([](auto &s) { s.Steps[1].After = {-1}; }));
  CHECK(bad([](auto &s) { s.Steps[1].Need.MilliCpus = -1; }));
  CHECK(bad([](auto &s) { s.Repetitions = -1; }));
  CHECK(bad([](auto &s) { s.Content.assign(MaxContentBytes + 1, 'x'); }));
  CHECK_FALSE(bad([](auto &s) { s.Content.assign(MaxContentBytes, 'x'); }));
  CHECK(bad([](auto &s) { s.Steps.resize(MaxSteps + 1); }));
  CHECK_FALSE(bad([](auto &s) { s.Steps.resize(MaxSteps); }));
  CHECK(bad([](auto &s) { s.Steps[1].After.assign(MaxDependencies + 1, 0); }));
  CHECK(bad([](auto &s) { s.Steps[1].Need.MemoryMb = INT64_MAX; }));
  CHECK(bad([](auto &s) { s.Steps[1].EstimateMs = INT64_MAX; }));
  CHECK(bad([](auto &s) {
    s.Repetitions = MaxTasksPerJob;
    s.Steps[0].Count = 2;
  }));
}
