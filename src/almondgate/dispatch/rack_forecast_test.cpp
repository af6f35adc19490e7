#include "almondgate/dispatch/rack_forecast.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace almondgate;
using namespace almondgate::dispatch;
using core::Size;
using core::TimeMs;

namespace {

Size cores(int64_t n) { return {0, n * 1000, 0, 0}; }

RackForecast::Request tasks(int64_t n_cores, int64_t run_ms,
                            int64_t count = 1) {
  return {cores(n_cores), count, 0, run_ms};
}

/// A rack of endpoints of 8 cores.
struct Rack {
  std::vector<EndpointView> Views;
  std::vector<EndpointView *> Group;
  std::map<const EndpointView *, std::vector<ExpectedRun>> Runs;
  int Listings = 0;
  RackForecast Forecast{[this](const EndpointView &endpoint) {
    ++Listings;
    return Runs[&endpoint];
  }};

  explicit Rack(size_t n) : Views(n) {
    for (auto &view : Views) {
      view.Facts.Capacity = cores(8);
      Group.push_back(&view);
    }
  }

  /// Adds a run that started at time 0.
  void addRun(size_t endpoint, int64_t n_cores, int64_t run_ms) {
    EndpointView &view = Views[endpoint];
    Runs[&view].push_back({TimeMs{0}, run_ms, cores(n_cores)});
    view.Used = view.Used + cores(n_cores);
  }

  int64_t waitMs(const RackForecast::Request &request) {
    const auto start = Forecast.earliestStart(Group, request);
    if (start)
      Forecast.enqueue(*start, request);
    return start ? start->WaitMs : -1;
  }
};

} // namespace

TEST_CASE("forecast: an overdue run is expected to go on as long again") {
  const ExpectedRun run{TimeMs{100}, 1000, cores(1)};
  CHECK(run.remainingMs(TimeMs{100}) == 1000);
  CHECK(run.remainingMs(TimeMs{700}) == 400);
  CHECK(run.remainingMs(TimeMs{1100}) == 0);
  CHECK(run.remainingMs(TimeMs{1500}) == 400);
}

TEST_CASE("forecast: tasks start behind the runs and behind each other") {
  Rack rack(2);
  rack.addRun(0, 4, 300);
  rack.addRun(0, 4, 500);
  rack.addRun(1, 8, 400);
  rack.Forecast.beginPass(TimeMs{100});
  CHECK(rack.waitMs(tasks(4, 1000)) == 200);
  CHECK(rack.waitMs(tasks(8, 1000)) == 300);
  CHECK(rack.waitMs(tasks(4, 1000)) == 400);
  CHECK(rack.waitMs(tasks(4, 1000)) == 1200);
  CHECK(rack.waitMs(tasks(9, 1000)) == -1);
  // The next pass knows nothing of these.
  rack.Forecast.beginPass(TimeMs{110});
  CHECK(rack.waitMs(tasks(4, 1000)) == 190);
}

TEST_CASE("forecast: capacity without an expected end never comes free") {
  Rack rack(1);
  rack.Views[0].Used = cores(6);
  rack.Forecast.beginPass(TimeMs{0});
  CHECK(rack.waitMs(tasks(2, 100)) == 0);
  CHECK(rack.waitMs(tasks(2, 100)) == 100);
  CHECK(rack.waitMs(tasks(4, 100)) == -1);
}

TEST_CASE("forecast: a gang starts when all of its members fit") {
  Rack rack(2);
  rack.addRun(0, 8, 300);
  rack.addRun(1, 4, 200);
  rack.addRun(1, 4, 600);
  rack.Forecast.beginPass(TimeMs{0});
  auto gang = tasks(4, 1000, 4);
  SUBCASE("anywhere") { CHECK(rack.waitMs(gang) == 600); }
  SUBCASE("three members") {
    gang.Count = 3;
    CHECK(rack.waitMs(gang) == 300);
    CHECK(rack.waitMs(tasks(4, 10)) == 600);
  }
  SUBCASE("too many") {
    gang.Count = 5;
    CHECK(rack.waitMs(gang) == -1);
  }
  SUBCASE("a limit on one endpoint") {
    gang.Count = 2;
    gang.MaxPerEndpoint = 1;
    CHECK(rack.waitMs(gang) == 300);
    gang.Count = 3;
    CHECK(rack.waitMs(gang) == -1);
  }
}

// Guards the leader's processor: a pass every 10 ms must not list the runs of
// each endpoint anew.
TEST_CASE("forecast: the runs of an endpoint are listed once until they "
          "change") {
  Rack rack(2);
  rack.addRun(0, 8, 300);
  for (int64_t pass = 0; pass < 5; ++pass) {
    rack.Forecast.beginPass(TimeMs{10 * pass});
    rack.waitMs(tasks(4, 100));
  }
  CHECK(rack.Listings == 2);
  rack.Views[0].ExpectedRuns.reset();
  rack.Forecast.beginPass(TimeMs{60});
  rack.waitMs(tasks(4, 100));
  CHECK(rack.Listings == 3);
}
